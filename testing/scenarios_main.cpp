// Runs scenario files and prints pass or fail for each; on failure its history.
// The exit code is the number of files that failed, 100 at most.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include "testing/harness/scenario.h"

int main(int argc, const char **argv)
{
    constexpr int kMaxExitCode = 100;
    int failed = 0;
    for (int i = 1; i < argc; ++i) {
        std::ifstream file(argv[i]);
        std::ostringstream text;
        text << file.rdbuf();
        const auto result = fulmarlink::testing::runScenario(text.str(), argv[i]);
        std::cout << (result.failures.empty() ? "pass " : "FAIL ") << argv[i] << '\n';
        if (result.failures.empty()) {
            continue;
        }
        ++failed;
        for (const std::string &failure : result.failures) {
            std::cout << "  " << failure << '\n';
        }
        for (const std::string &line : result.history) {
            std::cout << "    " << line << '\n';
        }
    }
    std::cout << argc - 1 << " scenarios, " << failed << " failed\n";
    return std::min(failed, kMaxExitCode);
}
