#include "review/standin/deployment.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

#include "review/standin/client.h"
#include "review/standin/server.h"

namespace review
{

namespace json = boost::json;

std::vector<Gateway> announceGateways(const std::string &folder, unsigned count, unsigned short storePort)
{
    std::vector<Gateway> gateways;
    std::string text;
    for (unsigned i = 0; i < count; ++i) {
        const Gateway gateway{"front-" + std::to_string(i + 1), freePort(), freePort(), freePort()};
        text += gateway.name;
        for (const unsigned short port : {gateway.callers, gateway.readiness, gateway.metrics, storePort}) {
            text += ' ' + std::to_string(port);
        }
        text += '\n';
        gateways.push_back(gateway);
    }
    const std::string path = folder + "/gateways";
    std::ofstream(path + ".new") << text;
    std::rename((path + ".new").c_str(), path.c_str()); // run.sh sees the whole file or none
    return gateways;
}

bool awaitReady(const std::vector<Gateway> &gateways)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    for (const Gateway &gateway : gateways) {
        while (Client(gateway.readiness).send("GET", "/v1/readyz", "Host: ready\r\n", "").status != 200) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }
    return true;
}

bool withTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

json::value configuration(json::array routes, json::array services)
{
    return json::object{
        {"version", 7},
        {"routes", std::move(routes)},
        {"services", std::move(services)},
        {"limits", json::object{{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 5000}, {"idle_timeout_ms", 30000}}},
        {"tenants", json::array{json::object{{"name", kTenant}, {"api_keys", json::array{kApiKey}}}}}};
}

json::value runnerEntry(const std::string &service, unsigned short port, unsigned slots, const std::string &state)
{
    return json::object{{"service", service},
                        {"addr", "127.0.0.1:" + std::to_string(port)},
                        {"zone", "lx-alfragide"},
                        {"version", "v1"},
                        {"slots", slots},
                        {"state", state},
                        {"cold_left_ms", 0},
                        {"call_seq", 0}};
}

std::string requestHead(const std::string &host, const std::string &attemptId, unsigned deadlineMs)
{
    return "Host: " + host + "\r\nAttempt-Id: " + attemptId + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Token " + kApiKey + "\r\n";
}

} // namespace review
