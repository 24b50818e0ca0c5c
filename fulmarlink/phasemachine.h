#pragma once

#include <boost/msm/back/state_machine.hpp>

namespace fulmarlink
{

/**
 * A Boost.MSM machine whose only state is where it is. MSM numbers the states in the
 * order in which the source column of Definition's table first names them; Phase's
 * enumerators stand in the same order. Only for .cpp files: MSM is slow to compile.
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
