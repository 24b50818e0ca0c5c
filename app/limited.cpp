// limited: runners that take only so many requests a second from all hosts together, as the
// store's records tell.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>

#include "app/commands.h"
#include "app/parsetarget.h"
#include "app/storesession.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace
{

namespace json = boost::json;

void print(const std::vector<LimitRecord> &limits)
{
    std::cout << "runner  born           a_second  told_by  written_ms\n";
    for (const LimitRecord &limit : limits) {
        std::cout << limit.incarnation.id << "  " << limit.incarnation.born << "  " << twoDecimals(limit.perSecond) << "  " << limit.host << "  "
                  << limit.writtenAt.count() << '\n';
    }
}

void printJson(const std::vector<LimitRecord> &limits)
{
    json::array rows;
    for (const LimitRecord &limit : limits) {
        rows.push_back(json::object{{"runner", limit.incarnation.id},
                                    {"born", limit.incarnation.born},
                                    {"per_second", limit.perSecond},
                                    {"told_by", limit.host},
                                    {"written_ms", limit.writtenAt.count()}});
    }
    std::cout << json::serialize(rows) << '\n';
}

} // namespace

ExitCode runLimited(int argc, const char **argv)
{
    std::string store = "127.0.0.1:8080";
    bool asJson = false;
    CommandLine line("limited", "Prints runners that have named how many requests a second they take from all hosts together.", "");
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
    if (!line.operands().empty()) {
        return line.fail("it takes no further words");
    }
    startLogging("warn");
    StoreSession session(target);
    const SharedRecordsRead read = session.records();
    if (read.error) {
        std::cerr << "fulmarlink limited: " << read.error.message() << '\n';
        return ExitCode::Unreachable;
    }
    asJson ? printJson(read.limits) : print(read.limits);
    return ExitCode::Ok;
}

} // namespace fulmarlink
