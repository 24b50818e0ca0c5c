// ctl: what operators do. Rules live in the object API; nodes are asked at their admin endpoints.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <random>
#include <thread>

#include "app/commands.h"
#include "app/parsetarget.h"
#include "fulmarlink/hostlist.h"
#include "fulmarlink/httpobjectstore.h"
#include "fulmarlink/rulesapply.h"

namespace fulmarlink
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr const char *kRules = "rules";
constexpr const char *kHistory = "rules-history";
constexpr std::size_t kMaxHistory = 50;
constexpr std::chrono::milliseconds kStatusTimeout{2000};
constexpr int kHttp11 = 11;
constexpr std::string_view kVersionLine = "# version ";

struct CtlOptions {
    std::string objectApi = "127.0.0.1:8080";
    std::vector<std::string> admins;
    long long expectVersion = -1;
    bool json = false;
};

std::string currentUser()
{
    const char *user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): before any thread
    return user == nullptr || *user == '\0' ? "unknown" : user;
}

std::string newApplyId()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(8) << device() << std::setw(8) << device();
    return text.str();
}

/** The object API, with a thread of its own for the answers. */
class Session
{
public:
    explicit Session(const HttpTarget &target)
        : m_work(asio::make_work_guard(m_context))
        , m_store(m_context.get_executor(), target, m_counters)
        , m_thread([this] {
            m_context.run();
        })
    {
    }

    ~Session()
    {
        m_work.reset();
        m_thread.join();
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    ObjectStore &store()
    {
        return m_store;
    }

    HttpResult get(const HttpTarget &target, const char *path)
    {
        HttpRequest request(http::verb::get, path, kHttp11);
        return asio::co_spawn(m_context, httpCall(target, std::move(request), kStatusTimeout), asio::use_future).get();
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    Counters m_counters;
    HttpObjectStore m_store;
    std::thread m_thread;
};

ExitCode fail(const std::error_code &error)
{
    std::cerr << "fulmarlink ctl: " << error.value() << ' ' << resultInfo(static_cast<ResultCode>(error.value())).name << ": " << error.message() << '\n';
    if (error == ResultCode::VersionConflict) {
        return ExitCode::Conflict;
    }
    return error == ResultCode::RulesInvalid ? ExitCode::Usage : ExitCode::Unreachable;
}

void printDiff(std::string_view before, std::string_view after)
{
    const bool colour = colourOutput();
    for (const std::string &line : diffLines(before, after)) {
        if (colour) {
            std::cout << (line.front() == '-' ? "\033[31m" : "\033[32m") << line << "\033[0m\n";
        } else {
            std::cout << line << '\n';
        }
    }
}

/** The version that stands in a file that `ctl show` wrote, or -1. */
long long versionIn(std::string_view text)
{
    long long version = -1;
    if (text.starts_with(kVersionLine)) {
        std::from_chars(text.data() + kVersionLine.size(), text.data() + text.size(), version);
    }
    return version;
}

ExitCode show(Session &session)
{
    const auto [error, object] = readObject(session.store(), kRules);
    if (error) {
        return fail(error);
    }
    std::cout << kVersionLine << object.version << '\n' << withoutApplyHeader(object.text);
    return ExitCode::Ok;
}

ExitCode diff(Session &session, const std::string &file)
{
    std::string text;
    if (!readFile(file, text)) {
        return ExitCode::Usage;
    }
    const auto [error, object] = readObject(session.store(), kRules);
    if (error && error != ResultCode::ObjectNotFound) {
        return fail(error);
    }
    if (text.starts_with(kVersionLine)) {
        text.erase(0, text.find('\n') + 1);
    }
    printDiff(withoutApplyHeader(object.text), text);
    return ExitCode::Ok;
}

/** Adds a line to the history; a convenience, so that a failure is only mentioned. */
void recordHistory(Session &session, const ApplyRequest &request, std::uint64_t version)
{
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto [error, object] = readObject(session.store(), kHistory);
        if (error && error != ResultCode::ObjectNotFound) {
            break;
        }
        boost::system::error_code bad;
        boost::json::value value = boost::json::parse(object.text.empty() ? "[]" : object.text, bad);
        boost::json::array lines = !bad && value.is_array() ? value.as_array() : boost::json::array();
        lines.push_back({{"version", version}, {"apply", request.applyId}, {"operator", request.operatorName}, {"bytes", request.text.size()}});
        if (lines.size() > kMaxHistory) {
            lines.erase(lines.begin());
        }
        std::promise<std::error_code> done;
        session.store().put(kHistory, object.version, boost::json::serialize(lines), [&](std::error_code result, const StoredObject & /*stored*/) {
            done.set_value(result);
        });
        if (!done.get_future().get()) {
            return;
        }
    }
    std::cerr << "fulmarlink ctl: the history could not be written; the rules are applied\n";
}

ExitCode apply(Session &session, const CtlOptions &options, const std::string &file)
{
    ApplyRequest request;
    if (!readFile(file, request.text)) {
        return ExitCode::Usage;
    }
    long long expected = options.expectVersion >= 0 ? options.expectVersion : versionIn(request.text);
    if (expected < 0) {
        const auto [error, object] = readObject(session.store(), kRules);
        if (error && error != ResultCode::ObjectNotFound) {
            return fail(error);
        }
        expected = static_cast<long long>(object.version);
    }
    request.file = file;
    request.applyId = newApplyId();
    request.operatorName = currentUser();
    request.expectedVersion = static_cast<std::uint64_t>(expected);
    const ApplyResult result = applyRules(session.store(), request);
    for (const FileError &error : result.fileErrors) {
        std::cerr << error.text() << '\n';
    }
    if (result.error == ResultCode::VersionConflict) {
        std::cerr << "the rules have changed: version " << result.version << " by " << parseApplyHeader(result.current).second << ", you read " << expected
                  << "; the difference from there to your file:\n";
        printDiff(withoutApplyHeader(result.current), request.text);
    }
    if (result.error) {
        return fail(result.error);
    }
    recordHistory(session, request, result.version);
    std::cout << "applied version " << result.version << (result.readBacks > 0 ? " (its answer was lost and read back)" : "") << '\n';
    return ExitCode::Ok;
}

ExitCode history(Session &session, bool json)
{
    const auto [error, object] = readObject(session.store(), kHistory);
    if (error && error != ResultCode::ObjectNotFound) {
        return fail(error);
    }
    if (json) {
        std::cout << (object.text.empty() ? "[]" : object.text) << '\n';
        return ExitCode::Ok;
    }
    boost::system::error_code bad;
    const boost::json::value value = boost::json::parse(object.text.empty() ? "[]" : object.text, bad);
    if (bad || !value.is_array()) {
        return fail(ResultCode::SettingsInvalid);
    }
    for (const boost::json::value &line : value.as_array()) {
        std::cout << boost::json::serialize(line) << '\n';
    }
    return ExitCode::Ok;
}

ExitCode status(Session &session, const CtlOptions &options)
{
    const auto [error, object] = readObject(session.store(), kRules);
    bool lagging = false;
    boost::json::array nodes;
    for (const std::string &admin : options.admins) {
        HttpTarget target;
        boost::json::object node{{"admin", admin}};
        if (!parseTarget(admin, target)) {
            node["state"] = "not an address";
        } else {
            const HttpResult result = session.get(target, "/status");
            boost::system::error_code bad;
            boost::json::value value = boost::json::parse(result.response.body(), bad);
            if (!result.error && !bad && value.is_object()) {
                node = value.as_object();
                node["admin"] = admin;
                const auto *version = node.if_contains("rules_version");
                const bool behind = !error && version != nullptr && version->to_number<std::uint64_t>() < object.version;
                node["state"] = behind ? "lags" : "ok";
                lagging = lagging || behind;
            } else {
                node["state"] = "unreachable";
            }
        }
        lagging = lagging || node["state"] != "ok";
        nodes.push_back(node);
    }
    if (options.json) {
        std::cout << boost::json::serialize(boost::json::object{{"store_version", object.version}, {"store_reachable", !error}, {"nodes", nodes}}) << '\n';
    } else {
        std::cout << "object API: " << (error ? error.message() : "rules version " + std::to_string(object.version)) << '\n';
        for (const boost::json::value &node : nodes) {
            const auto &fields = node.as_object();
            std::cout << "  " << fields.at("admin").as_string().c_str() << "  " << fields.at("state").as_string().c_str();
            for (const char *name : {"host", "role", "rules_version", "requests", "draining", "key_slots", "running", "queued"}) {
                if (const auto *value = fields.if_contains(name)) {
                    std::cout << "  " << name << '=' << boost::json::serialize(*value);
                }
            }
            std::cout << '\n';
        }
    }
    return error || lagging ? ExitCode::Failed : ExitCode::Ok;
}

} // namespace

ExitCode runCtl(int argc, const char **argv)
{
    CtlOptions options;
    CommandLine line("ctl",
                     "show            prints the rules in force, with their version\n"
                     "diff FILE       compares them with a file\n"
                     "apply FILE      writes a file, unless the rules have changed since they were read: the version is\n"
                     "                that of --expect-version, of the file's first line '# version N' as show prints it,\n"
                     "                or the one found now\n"
                     "history         the last 50 applies\n"
                     "status          the version in the object API and in force on each --admin node; exits 1 if one lags",
                     "COMMAND [FILE]");
    line.addText("object-api", &options.objectApi, "Where the object API listens (127.0.0.1:8080)", "ADDRESS:PORT");
    line.addTexts("admin", &options.admins, "Admin endpoint of a node, for status; may be given several times", "ADDRESS:PORT");
    line.addNumber("expect-version", &options.expectVersion, "The version that you read, for apply");
    line.addFlag("json", &options.json, "Print status and history as JSON");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return code;
    }
    HttpTarget target;
    if (!parseTarget(options.objectApi, target)) {
        return line.fail("--object-api takes ADDRESS:PORT with an IP number");
    }
    const auto &operands = line.operands();
    const std::string command = operands.empty() ? "" : operands[0];
    const bool takesFile = command == "diff" || command == "apply";
    if (operands.size() != (takesFile ? 2U : 1U)) {
        return line.fail(takesFile ? command + " takes one file" : "one command is needed: show, diff, apply, history or status");
    }
    Session session(target);
    if (command == "show") {
        return show(session);
    }
    if (command == "diff") {
        return diff(session, operands[1]);
    }
    if (command == "apply") {
        return apply(session, options, operands[1]);
    }
    if (command == "history") {
        return history(session, options.json);
    }
    if (command == "status") {
        return status(session, options);
    }
    return line.fail("no command '" + command + "'");
}

} // namespace fulmarlink
