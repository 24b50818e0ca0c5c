#include "app/commandline.h"

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace fulmarlink
{

namespace
{

constexpr int kHelp = 1;
constexpr int kVersion = 2;
constexpr int kFirstOption = 100;

} // namespace

CommandLine::CommandLine(std::string command, std::string summary, std::string operands)
    : m_command(std::move(command))
    , m_summary(std::move(summary))
    , m_operandsHelp(std::move(operands))
{
}

CommandLine::~CommandLine() = default;

void CommandLine::add(const char *name, int argInfo, Target target, const char *help, const char *argument)
{
    poptOption option{};
    option.longName = name;
    option.argInfo = static_cast<unsigned>(argInfo);
    option.val = kFirstOption + static_cast<int>(m_targets.size());
    option.descrip = help;
    option.argDescrip = argument;
    m_options.push_back(option);
    m_targets.push_back(target);
}

void CommandLine::addText(const char *name, std::string *value, const char *help, const char *argument)
{
    Target target;
    target.text = value;
    add(name, POPT_ARG_STRING, target, help, argument);
}

void CommandLine::addNumber(const char *name, long long *value, const char *help)
{
    Target target;
    target.number = value;
    add(name, POPT_ARG_STRING, target, help, "N");
}

void CommandLine::addFlag(const char *name, bool *value, const char *help)
{
    Target target;
    target.flag = value;
    add(name, POPT_ARG_NONE, target, help, nullptr);
}

void CommandLine::addTexts(const char *name, std::vector<std::string> *values, const char *help, const char *argument)
{
    Target target;
    target.texts = values;
    add(name, POPT_ARG_STRING, target, help, argument);
}

bool CommandLine::store(const Target &target, const char *argument, const char *name)
{
    const std::string text = argument == nullptr ? std::string() : argument;
    if (target.flag != nullptr) {
        *target.flag = true;
    } else if (target.text != nullptr) {
        *target.text = text;
    } else if (target.texts != nullptr) {
        target.texts->push_back(text);
    } else if (target.number != nullptr) {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *target.number);
        if (error != std::errc() || end != text.data() + text.size() || *target.number < 0) {
            fail(std::string("--") + name + " takes a whole number, not '" + text + "'");
            return false;
        }
    }
    return true;
}

bool CommandLine::parse(int argc, const char **argv, ExitCode &code)
{
    std::vector<poptOption> table = m_options;
    table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, kHelp, "Show this help and exit", nullptr});
    table.push_back({"version", 0, POPT_ARG_NONE, nullptr, kVersion, "Show the version and exit", nullptr});
    table.push_back({nullptr, 0, 0, nullptr, 0, nullptr, nullptr});
    std::vector<const char *> arguments(argv, argv + argc);
    arguments.front() = "fulmarlink"; // popt prints it before the usage
    const std::string usage = m_command + " [OPTION...] " + m_operandsHelp + "\n\n" + m_summary + "\n\nOptions:";
    poptContext context = poptGetContext("fulmarlink", argc, arguments.data(), table.data(), 0);
    poptSetOtherOptionHelp(context, usage.c_str());
    code = ExitCode::Ok;
    bool goOn = true;
    int value = 0;
    while (goOn && (value = poptGetNextOpt(context)) > 0) {
        if (value == kHelp) {
            poptPrintHelp(context, stdout, 0);
            goOn = false;
        } else if (value == kVersion) {
            std::cout << "fulmarlink " FULMARLINK_VERSION "\n";
            goOn = false;
        } else {
            char *argument = poptGetOptArg(context);
            const auto index = static_cast<std::size_t>(value - kFirstOption);
            if (!store(m_targets[index], argument, m_options[index].longName)) {
                code = ExitCode::Usage;
                goOn = false;
            }
            std::free(argument); // NOLINT: popt hands out malloc()ed text
        }
    }
    if (goOn && value < -1) {
        code = fail(std::string(poptBadOption(context, POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(value));
        goOn = false;
    }
    while (const char *operand = goOn ? poptGetArg(context) : nullptr) {
        m_operands.emplace_back(operand);
    }
    poptFreeContext(context);
    return goOn;
}

const std::vector<std::string> &CommandLine::operands() const
{
    return m_operands;
}

ExitCode CommandLine::fail(const std::string &message) const
{
    std::cerr << "fulmarlink " << m_command << ": " << message << "\nTry 'fulmarlink " << m_command << " --help'.\n";
    return ExitCode::Usage;
}

bool colourOutput()
{
    return isatty(STDOUT_FILENO) != 0 && std::getenv("NO_COLOR") == nullptr; // NOLINT(concurrency-mt-unsafe): before any thread
}

} // namespace fulmarlink
