#pragma once

#include <cstdint>

namespace fulmarlink
{

/**
 * Broken variants of the decision code. The tests switch them on one at a time to
 * see that a scenario or the fuzzer catches each; the product links a mutated()
 * that is always false (app/mutation_off.cpp).
 */
enum class Mutation : std::uint8_t {
    None,
    RetryAfterCommit, ///< a non-idempotent request with unknown outcome is dispatched again
    ForgetDispatches, ///< the agent does not recognise a duplicated dispatch
    IgnoreIncarnation, ///< the entry asks a new incarnation of the agent what became of the old one's dispatch
    AcceptStaleLink, ///< the agent takes messages of a replaced link and keeps no tombstones (either guard alone holds)
    NoTombstone, ///< the agent forgets that it has said "never arrived"
    FalseNotRun, ///< a lost link is reported as "not run"
    SkipChunk, ///< the entry gives chunks to the caller in order of arrival
    CutIsWhole, ///< a broken answer is ended as if it were whole
    IgnoreLeaving, ///< a draining agent takes new work
    ForgetKeys, ///< the key home forgets a key once its request is finished
    GrantTwice, ///< the key home grants a key that is in progress
    GrantInHandover, ///< the key home goes on granting after it has copied a slot to the next owner
    ForgetDoubt, ///< a new key home grants keys that its lost predecessor may have granted
    AcceptOldConfiguration, ///< a node takes over a lower configuration version
    CommitUnarmed, ///< the map coordinator commits before all ranks are armed
    RankSkipsHold, ///< an armed rank that has not heard goes on with the old map
    IgnoreFencing, ///< a rank takes orders of an older generation
    AbortArmed, ///< the coordinator aborts a map that some rank may have committed
    GoUnarmed, ///< a held pass is let go when the first rank is armed
    ArmUnheld, ///< ranks are armed without a pass that is held
    LetGoBesideOwner, ///< a pass that is held is let go though its owner may be about to arm
    RepeatAfterRun, ///< what may have run is sent to another runner
    NotRunAfterRun, ///< what may have run is called not run
    TakeOlderVersion, ///< a configuration that is older than the one in force is taken
    ForgetProofAge, ///< API keys stay good without a proof of the configuration
    PickLeaving, ///< a runner that is leaving gets work
    UnboundedRepeats, ///< the retry window grants everything
    ForgetFormerHosts, ///< the retry slack of hosts that have just left the list is granted again
    CountOneWindow, ///< the retry budget takes the sliding windows of all hosts for one
    FullBudgetAtStart, ///< a restarted process grants its part of the retry slack at once
    GiveHalfEvents, ///< bytes of an unfinished event reach the caller
    KeepTerm, ///< a lease that lapsed goes on with its old term
    SendToSlow, ///< a rank that is known to be slow gets work like the others
    AdmitDoomed, ///< a stream is taken that can't end before its deadline
    IgnorePace, ///< the planner counts all ranks as equally fast
    LoseSlowRanks, ///< an owner forgets what it knows of slow ranks in its next record
    BlindToSilence, ///< a slow pass is only noticed when it has ended
    IgnoreGroupPace, ///< a group whose passes take long gets work like the others
    AskStillGroup, ///< a group that stands still gets work like the others
    TrustColdExperts, ///< experts that are cold now stay on a slow rank
    MixStarts, ///< counts of two starts of a runner are compared
    ForgetMovedRank, ///< a report of an earlier epoch counts as the group's
    NeverBan, ///< a request that has ended three runners is only held back for a while
    CountReports, ///< one runner's end counts once for each host that tells of it
    ClearNobody, ///< a request that ended well is still suspected
    ResendAfterCrash, ///< a request whose runner ended is sent to the next one
    IgnoreLimits, ///< a runner that names a limit gets work like the others
    WholeLimitEach, ///< each host takes the whole limit of a runner for itself
    EndLimitByOldAnswer, ///< an answer that was overtaken ends a limit
    IgnoreBackoff, ///< a runner that has asked this host to back off gets work like the others
    ShortenBackoff, ///< a later, shorter request to back off takes the place of an earlier one
    EndBackoffByOldAnswer, ///< an answer to a request that was sent before a runner asked to back off ends it
    SkipSlowStart, ///< a runner gets everything at once when its backoff is over
    IgnoreLeavingAnswer, ///< a runner that says in its answers that it is leaving gets work
    ForgetRefusals, ///< a runner that turns requests away although it has slots free gets work like the others
    TrustForeignAnswer, ///< an answer that belongs to another request is taken
};

bool mutated(Mutation mutation);

} // namespace fulmarlink
