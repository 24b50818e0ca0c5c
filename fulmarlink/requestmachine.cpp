// All transitions are in one table below, built with Boost.MSM. The guards of one state and
// event exclude each other, so that at most one row applies.

#include "fulmarlink/requestmachine.h"

#include <array>
#include <boost/mpl/vector/vector30.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

namespace msm = boost::msm;
using boost::msm::front::none;
using boost::msm::front::Row;

struct Ready {
};
struct Sent {
};
struct GiveUp {
    ResultCode code;
};
struct NotRun {
    ResultCode code;
    bool mayRetry;
};
struct Chunk {
};
struct End {
};
struct Lost {
    ResultCode code;
    bool mayRetry;
};
struct Resumed {
};
struct Broke {
    ResultCode code;
    bool mayRetry;
};

struct Choose {
    template<class Event, class Fsm, class Source, class Target>
    void operator()(const Event & /*event*/, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        fsm.step = RequestStep::Choose;
    }
};

struct Reattach {
    template<class Event, class Fsm, class Source, class Target>
    void operator()(const Event & /*event*/, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        fsm.step = RequestStep::Reattach;
    }
};

struct Complete {
    template<class Event, class Fsm, class Source, class Target>
    void operator()(const Event & /*event*/, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        fsm.step = RequestStep::Finish;
        fsm.code = ResultCode::Ok;
    }
};

/** Like Choose, after a dispatch whose outcome is unknown; keeps that dispatch's code. */
struct ChooseAgain {
    template<class Event, class Fsm, class Source, class Target>
    void operator()(const Event &event, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        fsm.step = RequestStep::Choose;
        fsm.earlier = event.code;
    }
};

/** Ends with the event's code, but never reports "not run" after an earlier dispatch whose outcome is unknown. */
struct Fail {
    template<class Event, class Fsm, class Source, class Target>
    void operator()(const Event &event, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        const bool mayHaveRun = fsm.earlier != ResultCode::Ok && resultInfo(event.code).outcome == Outcome::NotRun;
        fsm.step = RequestStep::Finish;
        fsm.code = mayHaveRun && !mutated(Mutation::FalseNotRun) ? fsm.earlier : event.code;
    }
};

/** Ends an answer that has begun. A caller that has left did not get a short answer. */
struct CutShort {
    template<class Event, class Fsm, class Source, class Target>
    void operator()(const Event &event, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        fsm.step = RequestStep::Finish;
        fsm.code = event.code == ResultCode::CallerGone ? ResultCode::CallerGone : ResultCode::AnswerCutShort;
        fsm.code = mutated(Mutation::CutIsWhole) ? ResultCode::Ok : fsm.code;
    }
};

struct MarkBytes {
    template<class Event, class Fsm, class Source, class Target>
    void operator()(const Event & /*event*/, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        fsm.bytesGiven = true;
    }
};

struct SafeRetry {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event &event, Fsm & /*fsm*/, Source & /*source*/, Target & /*target*/) const
    {
        return event.mayRetry;
    }
};

struct NoSafeRetry {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event &event, Fsm & /*fsm*/, Source & /*source*/, Target & /*target*/) const
    {
        return !event.mayRetry;
    }
};

/** Outcome unknown: only an idempotent request may go to another runner, and only if the caller has received no byte. */
struct Repeatable {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event &event, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        return event.mayRetry && !fsm.bytesGiven && (fsm.idempotent || mutated(Mutation::RetryAfterCommit));
    }
};

struct NotRepeatable {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event &event, Fsm &fsm, Source &source, Target &target) const
    {
        return !Repeatable()(event, fsm, source, target);
    }
};

struct BytesGiven {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event & /*event*/, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        return fsm.bytesGiven;
    }
};

struct NoBytesGiven {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event & /*event*/, Fsm &fsm, Source & /*source*/, Target & /*target*/) const
    {
        return !fsm.bytesGiven;
    }
};

/** The answer broke after bytes of it were given to the caller. */
struct BrokeWithBytes {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event &event, Fsm &fsm, Source &source, Target &target) const
    {
        return NotRepeatable()(event, fsm, source, target) && fsm.bytesGiven;
    }
};

struct BrokeWithoutBytes {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event &event, Fsm &fsm, Source &source, Target &target) const
    {
        return NotRepeatable()(event, fsm, source, target) && !fsm.bytesGiven;
    }
};

struct Definition : msm::front::state_machine_def<Definition> {
    struct Waiting : msm::front::state<> {
    };
    struct Choosing : msm::front::state<> {
    };
    struct Dispatched : msm::front::state<> {
    };
    struct Streaming : msm::front::state<> {
    };
    struct Recovering : msm::front::state<> {
    };
    struct Finished : msm::front::state<> {
    };
    using initial_state = Waiting;
    using no_exception_thrown = int;

    // clang-format off
    using transition_table = boost::mpl::vector24<
        Row<Waiting,    Ready,   Choosing,   Choose,    none>,
        Row<Waiting,    GiveUp,  Finished,   Fail,      none>,
        Row<Choosing,   Sent,    Dispatched, none,      none>,
        Row<Choosing,   GiveUp,  Finished,   Fail,      none>,
        Row<Dispatched, Chunk,   Streaming,  MarkBytes, none>,
        Row<Dispatched, End,     Finished,   Complete,  none>,
        Row<Dispatched, NotRun,  Choosing,   Choose,    SafeRetry>,
        Row<Dispatched, NotRun,  Finished,   Fail,      NoSafeRetry>,
        Row<Dispatched, Lost,    Choosing,   ChooseAgain, Repeatable>,
        Row<Dispatched, Lost,    Recovering, Reattach,  NotRepeatable>,
        Row<Dispatched, Broke,   Choosing,   ChooseAgain, Repeatable>,
        Row<Dispatched, Broke,   Finished,   Fail,      NotRepeatable>,
        Row<Streaming,  Chunk,   Streaming,  none,      none>,
        Row<Streaming,  End,     Finished,   Complete,  none>,
        Row<Streaming,  Lost,    Recovering, Reattach,  none>,
        Row<Streaming,  NotRun,  Finished,   CutShort,  none>,
        Row<Streaming,  Broke,   Finished,   CutShort,  none>,
        Row<Recovering, Resumed, Dispatched, none,      NoBytesGiven>,
        Row<Recovering, Resumed, Streaming,  none,      BytesGiven>,
        Row<Recovering, NotRun,  Choosing,   Choose,    SafeRetry>,
        Row<Recovering, NotRun,  Finished,   Fail,      NoSafeRetry>,
        Row<Recovering, Broke,   Choosing,   ChooseAgain, Repeatable>,
        Row<Recovering, Broke,   Finished,   CutShort,  BrokeWithBytes>,
        Row<Recovering, Broke,   Finished,   Fail,      BrokeWithoutBytes>
    >;
    // clang-format on

    /** Ignores late events, such as a chunk after the deadline or a second link loss. */
    template<class Fsm, class Event>
    void no_transition(const Event & /*event*/, Fsm &fsm, int /*state*/) // NOLINT(readability-identifier-naming): MSM's name
    {
        fsm.step = RequestStep::Nothing;
    }

    bool idempotent = false;
    bool bytesGiven = false;
    RequestStep step = RequestStep::Nothing;
    ResultCode code = ResultCode::Ok;
    ResultCode earlier = ResultCode::Ok; ///< the code of an earlier dispatch whose outcome is unknown; Ok: none
};

using Machine = msm::back::state_machine<Definition>;

// MSM numbers the states in the order in which they first appear as a source state in the table.
constexpr std::array<RequestState, 6> kStates
    = {RequestState::Waiting, RequestState::Choosing, RequestState::Dispatched, RequestState::Streaming, RequestState::Recovering, RequestState::Finished};

} // namespace

class RequestMachine::Impl
{
public:
    explicit Impl(bool idempotent)
    {
        m_machine.idempotent = idempotent;
        m_machine.start();
    }

    template<class Event>
    RequestStep process(const Event &event)
    {
        m_machine.step = RequestStep::Nothing;
        m_machine.process_event(event);
        return m_machine.step;
    }

    RequestState state() const
    {
        return kStates.at(static_cast<std::size_t>(m_machine.current_state()[0]));
    }

    ResultCode code() const
    {
        return m_machine.code;
    }

private:
    Machine m_machine;
};

RequestMachine::RequestMachine(bool idempotent)
    : m_impl(std::make_unique<Impl>(idempotent))
{
}

RequestMachine::~RequestMachine() = default;
RequestMachine::RequestMachine(RequestMachine &&) noexcept = default;
RequestMachine &RequestMachine::operator=(RequestMachine &&) noexcept = default;

RequestStep RequestMachine::ready()
{
    return m_impl->process(Ready{});
}

RequestStep RequestMachine::sent()
{
    return m_impl->process(Sent{});
}

RequestStep RequestMachine::giveUp(ResultCode code)
{
    return m_impl->process(GiveUp{code});
}

RequestStep RequestMachine::notRun(ResultCode code, bool mayRetry)
{
    return m_impl->process(NotRun{code, mayRetry});
}

RequestStep RequestMachine::chunk()
{
    return m_impl->process(Chunk{});
}

RequestStep RequestMachine::end()
{
    return m_impl->process(End{});
}

RequestStep RequestMachine::lost(bool mayRetry)
{
    if (mutated(Mutation::FalseNotRun) && state() == RequestState::Dispatched) {
        return m_impl->process(NotRun{ResultCode::NoRunnerReachable, false});
    }
    return m_impl->process(Lost{ResultCode::LinkLost, mayRetry});
}

RequestStep RequestMachine::resumed()
{
    return m_impl->process(Resumed{});
}

RequestStep RequestMachine::broke(ResultCode code, bool mayRetry)
{
    return m_impl->process(Broke{code, mayRetry});
}

RequestState RequestMachine::state() const
{
    return m_impl->state();
}

ResultCode RequestMachine::code() const
{
    return m_impl->code();
}

} // namespace fulmarlink
