#pragma once

#include <atomic>
#include <boost/json/value.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/standin/deployment.h"
#include "review/standin/record.h"
#include "review/standin/server.h"
#include "review/standin/store.h"

namespace review
{

/** What the clients got and the runners ran, by attempt. Thread-safe. */
class Ledger
{
public:
    struct Attempt {
        double sentAt = 0; ///< milliseconds of the record
        unsigned runs = 0;
        unsigned status = 0; ///< that its client got; 0: no complete answer
        bool answered = false;
    };

    void sent(const std::string &attemptId, double time);
    void ran(const std::string &attemptId);
    void answered(const std::string &attemptId, unsigned status);
    std::map<std::string, Attempt> attempts() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Attempt> m_attempts;
};

/** A runner of the plain service. Runs each request that it takes for workMs. */
class PortalRunner
{
public:
    static constexpr unsigned kSlots = 6;
    static constexpr unsigned kWorkMs = 30;

    PortalRunner(std::string id, Record &record, Ledger &ledger);

    const std::string &id() const;
    unsigned short port() const;
    void end();
    /** From now on, while @p extra is true, one answer in @p every is followed by a second one, late. */
    void setExtraAnswers(bool extra, unsigned every);

    std::atomic<double> drainAcknowledgedAt{-1}; ///< when the store had accepted its report that it is draining
    std::atomic<unsigned> answers{0}; ///< given while it sends extra answers
    std::atomic<unsigned> extras{0}; ///< sent
    std::atomic<unsigned> arrivalsAfterDrain{0}; ///< requests that reached it later than the bound after that

private:
    bool handle(Connection &connection, const Request &request);

    const std::string m_id;
    Record &m_record;
    Ledger &m_ledger;
    std::atomic<bool> m_extra{false};
    std::atomic<unsigned> m_every{0};
    Server m_server;
};

/** The configuration with the route of the plain service's requests, which may run once at most. */
boost::json::value portalConfiguration();

/** Clients that send requests which may run once at most, one after the other, until @p end (milliseconds of the record). */
void runPortalClients(const std::vector<Gateway> &gateways, unsigned clientsEach, unsigned pauseMs, double end, Record &record, Ledger &ledger);

} // namespace review
