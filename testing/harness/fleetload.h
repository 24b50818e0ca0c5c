#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "testing/harness/gatewayfleet.h"

namespace fulmarlink::testing
{

/** Callers that send at an even rate, to each gateway of a fleet in turn. */
class FleetLoad
{
public:
    FleetLoad(GatewayFleet &fleet, unsigned gateways, double perSecond);

    void run(std::chrono::milliseconds time, const std::string &path);

    /** Answers with @p status so far. */
    std::size_t answered(unsigned status) const;
    const std::vector<std::shared_ptr<Answer>> &answers() const;
    /** Whether a runner ran the request that got this answer. */
    bool ran(std::size_t index) const;

private:
    GatewayFleet &m_fleet;
    const unsigned m_gateways;
    const std::chrono::microseconds m_interval;
    std::vector<HttpRequest> m_requests;
    std::vector<std::shared_ptr<Answer>> m_answers;
    unsigned m_sent = 0;
};

} // namespace fulmarlink::testing
