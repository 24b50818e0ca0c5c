// check: validates settings and rule files whole, and prints every error with its place.

#include <algorithm>
#include <iostream>

#include "app/commands.h"
#include "fulmarlink/ruleset.h"
#include "fulmarlink/settings.h"

namespace fulmarlink
{

namespace
{

/** Rule files have the key 'rules' at the top; everything else is taken for settings. */
void checkFile(const std::string &path, const std::string &text, FileErrors &errors)
{
    FileErrors ignored;
    if (YamlReader::parse(text, path, ignored).has("rules")) {
        RuleSet::parse(text, path, errors);
    } else {
        Settings::parse(text, path, errors);
    }
}

} // namespace

ExitCode runCheck(int argc, const char **argv)
{
    CommandLine line("check", "Validates settings and rule files. Prints each error as FILE:LINE:COLUMN; exits 0 or 2.", "FILE...");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return code;
    }
    if (line.operands().empty()) {
        return line.fail("no file given");
    }
    FileErrors errors;
    for (const std::string &path : line.operands()) {
        std::string text;
        if (!readFile(path, text)) {
            return ExitCode::Usage;
        }
        checkFile(path, text, errors);
    }
    std::ranges::stable_sort(errors, {}, [](const FileError &error) {
        return std::tuple(error.file, error.line, error.column);
    });
    for (const FileError &error : errors) {
        std::cout << error.text() << '\n';
    }
    std::cout << line.operands().size() << " files, " << errors.size() << " errors\n";
    return errors.empty() ? ExitCode::Ok : ExitCode::Usage;
}

} // namespace fulmarlink
