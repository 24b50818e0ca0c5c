#include "fulmarlink/attemptpolicy.h"

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

bool mayRunAgain(const AttemptState &state)
{
    if (state.ran == 0) {
        return !state.answerBegun;
    }
    if (state.ran >= state.maxAttempts) {
        return false;
    }
    if ((state.runnerEnded || state.endedRunners >= kMaxEndedRunners) && !mutated(Mutation::ResendAfterCrash)) {
        return false;
    }
    return state.answerBegun ? state.resumable : state.repeatable || mutated(Mutation::RepeatAfterRun);
}

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::NotSent:
        return "not-sent";
    case AttemptEnd::Refused:
        return "refused";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Overdue:
        return "overdue";
    }
    return "unknown";
}

NextStep giveUp(const AttemptState &state)
{
    const bool neverRan = state.ran == 0 || mutated(Mutation::NotRunAfterRun);
    if (neverRan && !state.answerBegun) {
        return NextStep::RefuseNotRun;
    }
    return state.end == AttemptEnd::Failed && !state.answerBegun ? NextStep::PassFailure : NextStep::Unknown;
}

NextStep nextStep(const AttemptState &state)
{
    if (state.end == AttemptEnd::Answered) {
        return NextStep::Deliver;
    }
    const bool again = mayRunAgain(state) && state.sends < kMaxSends && state.timeLeft;
    return again ? NextStep::Again : giveUp(state);
}

} // namespace fulmarlink
