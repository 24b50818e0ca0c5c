#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fulmarlink::testing
{

/** What a scenario file's run came to. */
struct ScenarioResult {
    std::vector<std::string> failures; ///< broken promises, unmet expectations, errors in the file
    std::vector<std::string> history; ///< every event, in order
};

/** Runs one scenario file; docs/SCENARIOS.md says what may stand in it. */
ScenarioResult runScenario(std::string_view text, const std::string &file);

} // namespace fulmarlink::testing
