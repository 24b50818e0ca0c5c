#pragma once

#include <boost/msm/back/state_machine.hpp>

namespace fulmarlink
{

/**
 * A Boost.MSM state machine without data, whose state is exposed as the enum Phase. MSM
 * numbers the states in the order in which they first appear in the source column of
 * Definition's transition table; the enumerators of Phase must have the same order.
 * Include it in .cpp files only, because MSM is slow to compile.
 */
template<typename Definition, typename Phase>
class PhaseMachine
{
public:
    PhaseMachine()
    {
        m_backend.start();
    }

    template<class Event>
    void process(const Event &event)
    {
        m_backend.process_event(event);
    }

    Phase phase() const
    {
        return static_cast<Phase>(m_backend.current_state()[0]);
    }

private:
    boost::msm::back::state_machine<Definition> m_backend;
};

} // namespace fulmarlink
