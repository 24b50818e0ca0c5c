#pragma once

#include <popt.h>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarlink
{

/** Exit codes of the program. */
enum class ExitCode : int {
    Ok = 0,
    Failed = 1, ///< the command ran and its result is bad
    Usage = 2, ///< wrong arguments, or invalid settings or rules
    Conflict = 3, ///< the configuration has changed since it was read
    Unreachable = 4, ///< the object API or a node can't be reached
};

/**
 * The arguments of one command, read with popt.
 *
 * How to use: add options, parse(), then read the variables. --help and --version are
 * there by themselves.
 */
class CommandLine
{
public:
    CommandLine(std::string command, std::string summary, std::string operands);
    ~CommandLine();
    CommandLine(const CommandLine &) = delete;
    CommandLine &operator=(const CommandLine &) = delete;

    void addText(const char *name, std::string *value, const char *help, const char *argument = "TEXT");
    void addNumber(const char *name, long long *value, const char *help);
    void addFlag(const char *name, bool *value, const char *help);
    /** May be given several times. */
    void addTexts(const char *name, std::vector<std::string> *values, const char *help, const char *argument = "TEXT");

    /** False if the command is over: @p code is its exit code. Help and errors are printed. */
    bool parse(int argc, const char **argv, ExitCode &code);
    const std::vector<std::string> &operands() const;
    /** Prints what is wrong and how to get help. */
    ExitCode fail(const std::string &message) const;

private:
    struct Target {
        std::string *text = nullptr;
        long long *number = nullptr;
        bool *flag = nullptr;
        std::vector<std::string> *texts = nullptr;
    };

    void add(const char *name, int argInfo, Target target, const char *help, const char *argument);
    bool store(const Target &target, const char *argument, const char *name);

    std::string m_command;
    std::string m_summary;
    std::string m_operandsHelp;
    std::vector<poptOption> m_options;
    std::vector<Target> m_targets;
    std::vector<std::string> m_operands;
};

/** True if standard output is a terminal that takes colours. */
bool colourOutput();

} // namespace fulmarlink
