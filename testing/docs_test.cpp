// The docs and the code say the same: result codes, counters, examples, links.

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <sstream>

#include "fulmarlink/counters.h"
#include "fulmarlink/ruleset.h"
#include "fulmarlink/settings.h"

namespace fulmarlink::testing
{

namespace
{

const std::filesystem::path kRoot = FULMARLINK_SOURCE_DIR;

std::string read(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string codeRow(const ResultInfo &info)
{
    std::string status = info.httpStatus == 0 ? "-" : std::to_string(info.httpStatus);
    return "| " + std::to_string(static_cast<int>(info.code)) + " | " + std::string(info.name) + " | " + status + " | " + std::string(outcomeName(info.outcome))
           + " | " + (info.retryLater ? "yes" : "no") + " | " + std::string(info.meaning) + " |";
}

std::vector<std::filesystem::path> markdownFiles()
{
    std::vector<std::filesystem::path> files = {kRoot / "README.md"};
    for (const auto &entry : std::filesystem::recursive_directory_iterator(kRoot / "docs")) {
        if (entry.path().extension() == ".md") {
            files.push_back(entry.path());
        }
    }
    return files;
}

} // namespace

TEST(Docs, ResultCodesTableEqualsCode)
{
    const std::string page = read(kRoot / "docs/RESULT_CODES.md");
    std::vector<std::string> documented;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("| ") && line.size() > 2 && line[2] >= '0' && line[2] <= '9') {
            documented.push_back(line);
        }
    }
    std::vector<std::string> coded;
    for (const ResultInfo &info : resultTable()) {
        coded.push_back(codeRow(info));
    }
    EXPECT_EQ(documented, coded);
}

TEST(Docs, EveryCounterIsDocumented)
{
    const std::string page = read(kRoot / "docs/operators/COUNTERS.md");
    std::vector<std::string> families;
    const std::regex name("\"(fulmarlink_[a-z_]+)");
    for (const char *folder : {"fulmarlink", "platform"}) {
        for (const auto &entry : std::filesystem::directory_iterator(kRoot / folder)) {
            if (entry.path().extension() != ".cpp") {
                continue;
            }
            const std::string source = read(entry.path());
            for (auto it = std::sregex_iterator(source.begin(), source.end(), name); it != std::sregex_iterator(); ++it) {
                families.push_back((*it)[1]);
            }
        }
    }
    EXPECT_GT(families.size(), 8U);
    for (const std::string &family : families) {
        EXPECT_NE(page.find("`" + family + "`"), std::string::npos) << family;
    }
    const std::regex documented("`(fulmarlink_[a-z_]+)`");
    for (auto it = std::sregex_iterator(page.begin(), page.end(), documented); it != std::sregex_iterator(); ++it) {
        EXPECT_NE(std::ranges::find(families, (*it)[1].str()), families.end()) << (*it)[1];
    }
}

TEST(Docs, EveryLinkResolves)
{
    const std::regex link("\\]\\(([^)#]+)(#[^)]*)?\\)");
    unsigned links = 0;
    for (const auto &file : markdownFiles()) {
        const std::string text = read(file);
        for (auto it = std::sregex_iterator(text.begin(), text.end(), link); it != std::sregex_iterator(); ++it) {
            const std::string target = (*it)[1];
            if (target.starts_with("http")) {
                continue;
            }
            ++links;
            EXPECT_TRUE(std::filesystem::exists(file.parent_path() / target)) << file << ": " << target;
        }
    }
    EXPECT_GT(links, 10U);
}

TEST(Docs, ExamplesAreValid)
{
    unsigned checked = 0;
    for (const auto &entry : std::filesystem::directory_iterator(kRoot / "examples")) {
        if (entry.path().extension() != ".yaml") {
            continue;
        }
        ++checked;
        FileErrors errors;
        const std::string text = read(entry.path());
        if (text.find("\nrules:") != std::string::npos || text.starts_with("rules:")) {
            RuleSet::parse(text, entry.path().filename(), errors);
        } else {
            Settings::parse(text, entry.path().filename(), errors);
        }
        EXPECT_TRUE(errors.empty()) << errors.front().text();
    }
    EXPECT_GE(checked, 6U);
}

TEST(Docs, EverySettingIsDocumented)
{
    const std::string page = read(kRoot / "docs/SETTINGS.md");
    const std::string source = read(kRoot / "fulmarlink/settings.cpp");
    const std::regex key("(?:number|real|readMs|readDuration|text|readTarget|has|child|requiredText)\\((?:reader, |platform, )?\"([a-z_]+)\"");
    unsigned found = 0;
    for (auto it = std::sregex_iterator(source.begin(), source.end(), key); it != std::sregex_iterator(); ++it) {
        ++found;
        EXPECT_NE(page.find("`" + (*it)[1].str() + "`"), std::string::npos) << (*it)[1];
    }
    EXPECT_GT(found, 30U);
}

TEST(Docs, CapacityPageHasNoFigureWithoutASlope)
{
    // Rows of the page's budget tables name the slope they come from, and each slope names its command.
    const std::string page = read(kRoot / "docs/CAPACITY.md");
    const std::regex slope("\\| (S[0-9]+) \\|[^\\n]*`[^`\\n]+`");
    std::vector<std::string> slopes;
    for (auto it = std::sregex_iterator(page.begin(), page.end(), slope); it != std::sregex_iterator(); ++it) {
        slopes.push_back((*it)[1]);
    }
    EXPECT_GE(slopes.size(), 8U);
    const std::regex use("\\b(S[0-9]+)\\b");
    for (auto it = std::sregex_iterator(page.begin(), page.end(), use); it != std::sregex_iterator(); ++it) {
        EXPECT_NE(std::ranges::find(slopes, (*it)[1].str()), slopes.end()) << (*it)[1];
    }
}

} // namespace fulmarlink::testing
