#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace fulmarlink
{

/**
 * Numbered result codes of requests, links and configuration.
 *
 * How to use: functions that can fail return std::error_code; compare it with a
 * ResultCode directly. resultInfo() gives the name, the HTTP status and what the
 * code says about the request. docs/RESULT_CODES.md lists the same table and a
 * test fails where the two differ.
 *
 * Contract: a code whose outcome is Outcome::NotRun is only given where it is
 * proved that no runner ran the request and none will.
 */
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // Refused, not run.
    MalformedRequest = 101,
    HeaderTooLarge = 102,
    BodyTooLarge = 103,
    SlowSender = 104,
    NoRuleMatched = 105,
    RefusedByRule = 106,
    UnknownPool = 107,
    EmptyPool = 108,
    CustomerLimit = 109,
    FairShareExceeded = 110,
    EntryOverloaded = 111,
    RunnerBusy = 112,
    DeadlineBeforeRun = 113,
    ShuttingDown = 114,
    RunnerLeaving = 115,
    IncarnationChanged = 116,
    DispatchNeverArrived = 117,
    DispatchTableFull = 118,
    NoRunnerReachable = 119,
    RetryBudgetSpent = 120,
    NoConfiguration = 121,
    KeyInProgress = 122,
    KeyHomeUnreachable = 123,
    KeyTableFull = 124,
    EngineRefused = 125,
    EngineUnreachable = 126,
    CancelledBeforeRun = 127,
    ConfigurationTooOld = 128,
    TooManyRequests = 129,
    ApiKeyUnknown = 130,
    ConfigurationUnproved = 131,
    PoolOverloaded = 132,
    PoolStalled = 133,
    PoolTooSlow = 134,
    RequestEndsRunners = 135,
    RunnersLimited = 136,
    RunnersBackingOff = 137,
    RequestMemoryFull = 138,

    // The outcome is unknown, or the request ran and its answer can't be given.
    LinkLost = 201,
    RunnerReplaced = 202,
    DeadlineAfterDispatch = 203,
    EngineBroke = 204,
    AnswerCutShort = 205,
    CutByShutdown = 206,
    KeyOutcomeUnknown = 207,
    KeyHistoryLost = 208,
    AnswerNoLongerHeld = 209,
    DispatchExpired = 210,
    CallerGone = 211,
    RunnerFailed = 212,
    AnswerInvalid = 213,
    RunnerEnded = 214,

    // Links between fulmarlink's own processes.
    FrameTooLarge = 301,
    FrameInvalid = 302,
    ProtocolMajorDiffers = 303,
    StaleLink = 304,
    HelloExpected = 305,

    // Settings, rules and the object API.
    SettingsInvalid = 401,
    RulesInvalid = 402,
    VersionConflict = 403,
    StoreUnavailable = 404,
    StoreAnswerLost = 405,
    VersionNotNewer = 406,
    ObjectNotFound = 407,
    ConfigurationInvalid = 408,
    StoreHistoryGone = 409,
    AnswerUnreadable = 410,
};

/** What a result code says about the request it is given for. */
enum class Outcome : std::uint8_t {
    Answered, ///< the whole answer was given
    NotRun, ///< proved: no runner ran it and none will
    Unknown, ///< it may have run
    NotARequest, ///< the code is not about a caller's request
};

struct ResultInfo {
    ResultCode code;
    std::string_view name; ///< lower case with dashes; stable, part of the counters' names
    unsigned httpStatus; ///< status for the caller; 0 where no caller sees it
    Outcome outcome;
    bool retryLater; ///< the refusal carries Retry-After
    std::string_view meaning;
};

/** All codes in ascending order. */
std::span<const ResultInfo> resultTable();

/** The row of @p code. O(log n). */
const ResultInfo &resultInfo(ResultCode code);

std::string_view outcomeName(Outcome outcome);

const std::error_category &resultCategory();
std::error_code make_error_code(ResultCode code); // NOLINT(readability-identifier-naming): found by argument-dependent lookup

} // namespace fulmarlink

template<>
struct std::is_error_code_enum<fulmarlink::ResultCode> : std::true_type {
};
