// held: requests that reach no runner since runners ended under them, as the store's records
// tell, and their release by an operator.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>

#include "app/commands.h"
#include "app/parsetarget.h"
#include "app/storesession.h"
#include "fulmarlink/crashhistory.h"
#include "fulmarlink/log.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace
{

namespace json = boost::json;

constexpr const char *kOperator = "operator"; ///< stands where a record has its host

std::string livesText(const HeldRequest &request)
{
    std::string result;
    for (const TargetIncarnation &incarnation : request.incarnations) {
        result += (result.empty() ? "" : ",") + incarnation.id;
    }
    return result;
}

void print(const std::vector<HeldRequest> &held)
{
    std::cout << "fingerprint                                       verdict    crashes  segment  customer  route  runners\n";
    for (const HeldRequest &request : held) {
        std::cout << request.fingerprint.text() << "  " << crashVerdictName(request.status.verdict) << "  " << request.status.crashes << "  "
                  << (request.status.segment.empty() ? "-" : request.status.segment) << "  " << (request.customer.empty() ? "-" : request.customer) << "  "
                  << request.route << "  " << livesText(request) << '\n';
    }
}

void printJson(const std::vector<HeldRequest> &held)
{
    json::array rows;
    for (const HeldRequest &request : held) {
        rows.push_back(json::object{{"fingerprint", request.fingerprint.text()},
                                    {"verdict", crashVerdictName(request.status.verdict)},
                                    {"crashes", request.status.crashes},
                                    {"segment", request.status.segment},
                                    {"customer", request.customer},
                                    {"route", request.route},
                                    {"runners", livesText(request)}});
    }
    std::cout << json::serialize(rows) << '\n';
}

ExitCode fail(const std::error_code &error)
{
    std::cerr << "fulmarlink held: " << error.message() << '\n';
    return ExitCode::Unreachable;
}

/** Clears the request of all lives that are known now; it may come again at once, and is judged by what happens then. */
ExitCode release(StoreSession &session, const std::vector<HeldRequest> &held, const std::string &text)
{
    for (const HeldRequest &request : held) {
        if (request.fingerprint.text() != text) {
            continue;
        }
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        CrashRecord record;
        record.kind = CrashRecordKind::Cleared;
        record.host = kOperator;
        record.writtenAt = now;
        record.name = "cleared." + text + '.' + kOperator + '.' + std::to_string(now.count());
        record.incarnations = request.incarnations;
        record.suspects.push_back({request.fingerprint, request.customer, request.route, false});
        const std::error_code error = session.write(std::move(record));
        return error ? fail(error) : ExitCode::Ok;
    }
    std::cerr << "fulmarlink held: no request with the fingerprint " << text << " is held back\n";
    return ExitCode::Failed;
}

} // namespace

ExitCode runHeld(int argc, const char **argv)
{
    std::string store = "127.0.0.1:8080";
    bool asJson = false;
    CommandLine line("held",
                     "list                 prints requests and prompt segments that are held back since runners ended under them\n"
                     "release FINGERPRINT  lets one go again, on all hosts",
                     "COMMAND [FINGERPRINT]");
    line.addText("store", &store, "Where the platform's store listens (127.0.0.1:8080)", "ADDRESS:PORT");
    line.addFlag("json", &asJson, "Print the list as JSON");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return code;
    }
    HttpTarget target;
    if (!parseTarget(store, target)) {
        return line.fail("--store takes ADDRESS:PORT with an IP number");
    }
    const auto &operands = line.operands();
    const bool lists = operands.size() == 1 && operands[0] == "list";
    const bool releases = operands.size() == 2 && operands[0] == "release";
    if (!lists && !releases) {
        return line.fail("one command is needed: list, or release with a fingerprint");
    }
    startLogging("warn");
    StoreSession session(target);
    SharedRecordsRead read = session.records();
    if (read.error) {
        return fail(read.error);
    }
    CrashHistory history;
    history.setRunnerCount(session.runnerCount());
    for (CrashRecord &record : read.crashes) {
        history.add(std::move(record), session.now());
    }
    const std::vector<HeldRequest> held = history.heldRequests(session.now());
    if (releases) {
        return release(session, held, operands[1]);
    }
    asJson ? printJson(held) : print(held);
    return ExitCode::Ok;
}

} // namespace fulmarlink
