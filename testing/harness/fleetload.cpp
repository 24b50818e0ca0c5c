#include "testing/harness/fleetload.h"

#include <algorithm>

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

FleetLoad::FleetLoad(GatewayFleet &fleet, unsigned gateways, double perSecond)
    : m_fleet(fleet)
    , m_gateways(gateways)
    , m_interval(std::chrono::duration_cast<std::chrono::microseconds>(1s / perSecond))
{
}

void FleetLoad::run(std::chrono::milliseconds time, const std::string &path)
{
    const GatewayFleet::Time end = std::chrono::steady_clock::now() + time;
    GatewayFleet::Time next = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < end) {
        m_requests.push_back(m_fleet.request(path));
        m_answers.push_back(m_fleet.send(m_sent++ % m_gateways, m_requests.back()));
        next += m_interval;
        m_fleet.runUntil(
            [next] {
                return std::chrono::steady_clock::now() >= next;
            },
            10s);
    }
}

std::size_t FleetLoad::answered(unsigned status) const
{
    return static_cast<std::size_t>(std::ranges::count(m_answers, status, [](const auto &answer) {
        return answer->status;
    }));
}

const std::vector<std::shared_ptr<Answer>> &FleetLoad::answers() const
{
    return m_answers;
}

bool FleetLoad::ran(std::size_t index) const
{
    return m_fleet.attemptRan(std::string(m_requests[index]["Attempt-Id"]));
}

} // namespace fulmarlink::testing
