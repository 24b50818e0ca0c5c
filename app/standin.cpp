// standin: the platform's services and runners as a process of their own, for trying
// the product out as separate processes.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "app/commands.h"
#include "app/parsetarget.h"
#include "fulmarlink/hostlist.h"
#include "standins/engine.h"
#include "standins/objectapi.h"

namespace fulmarlink
{

ExitCode runStandin(int argc, const char **argv)
{
    std::string objectApi;
    std::string hostsFile;
    std::string rulesFile;
    std::vector<std::string> engineTargets;
    CommandLine line("standin", "Runs stand-ins for the object API with the host list, and for engines, until SIGTERM.", "");
    line.addText("object-api", &objectApi, "Listen here as object API and host list", "ADDRESS:PORT");
    line.addText("hosts", &hostsFile, "The host list, JSON", "FILE");
    line.addText("rules", &rulesFile, "Rules to start with", "FILE");
    line.addTexts("engine", &engineTargets, "Listen here as an engine; may be given several times", "ADDRESS:PORT");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return code;
    }
    boost::asio::io_context context;
    standins::ObjectApi objects(context.get_executor());
    HttpTarget target;
    std::string text;
    if (!objectApi.empty()) {
        std::vector<HostInfo> hosts;
        if (!parseTarget(objectApi, target) || !readFile(hostsFile, text) || parseHostList(text, hosts)) {
            return line.fail("--object-api ADDRESS:PORT needs --hosts with a valid host list");
        }
        objects.setHosts(hosts);
        if (!rulesFile.empty() && readFile(rulesFile, text)) {
            objects.seed("rules", text);
        }
        objects.listen(target.address, target.port);
    }
    std::vector<std::shared_ptr<standins::Engine>> engines;
    for (const std::string &engine : engineTargets) {
        if (!parseTarget(engine, target)) {
            return line.fail("--engine takes ADDRESS:PORT");
        }
        standins::EngineOptions options;
        options.name = engine;
        engines.push_back(std::make_shared<standins::Engine>(context.get_executor(), options));
        engines.back()->listen(target.address, target.port);
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code & /*error*/, int /*signal*/) {
        context.stop();
    });
    context.run();
    return ExitCode::Ok;
}

} // namespace fulmarlink
