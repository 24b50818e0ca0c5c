#pragma once

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

#include "fulmarlink/objectstore.h"
#include "fulmarlink/yamlreader.h"

namespace fulmarlink
{

struct ApplyRequest {
    std::string text; ///< the rule file
    std::string file; ///< its name, for errors
    std::string applyId; ///< unique to this apply; found again after a lost answer
    std::string operatorName;
    std::uint64_t expectedVersion = 0; ///< the version that the operator read; 0: there were no rules yet
};

struct ApplyResult {
    std::error_code error; ///< RulesInvalid, VersionConflict, StoreUnavailable, StoreAnswerLost or none
    FileErrors fileErrors;
    std::uint64_t version = 0; ///< in the store: the new one, or the one that was in the way
    std::string current; ///< on a conflict: the rules that are there
    unsigned readBacks = 0; ///< reads that were needed to learn what became of the write
};

/** How often a lost answer is looked up before it is reported as lost. */
inline constexpr unsigned kMaxReadBacks = 5;

/**
 * Writes rules to the object API: validates them whole, updates on the condition that
 * the version is the one that the operator read, and, when the answer is lost, reads
 * back by the apply id before it says anything. Blocks.
 *
 * Contract: StoreAnswerLost is only given when the outcome could not be learned;
 * VersionConflict only when these rules are not in force.
 */
ApplyResult applyRules(ObjectStore &store, const ApplyRequest &request);

/** Reads an object and blocks until it is there. */
std::pair<std::error_code, StoredObject> readObject(ObjectStore &store, const std::string &key);

/** The first line that applyRules() puts before a rule file. */
std::string applyHeader(const std::string &applyId, const std::string &operatorName);
/** The apply id and operator of stored rules; empty if there is no header. */
std::pair<std::string, std::string> parseApplyHeader(std::string_view text);
/** Stored rules without their header. */
std::string_view withoutApplyHeader(std::string_view text);

/** Lines that differ, with "- " before those of @p before and "+ " before those of @p after. */
std::vector<std::string> diffLines(std::string_view before, std::string_view after);

} // namespace fulmarlink
