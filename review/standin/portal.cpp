#include "review/standin/portal.h"

#include <chrono>
#include <cstdlib>
#include <thread>

#include "review/standin/client.h"

namespace review
{

namespace json = boost::json;

namespace
{

const std::string kHost = "ficu95.example";
const std::string kPath = "/batch-export/";
const std::string kService = "branch-portal";

/** An answer that names no request, in one of the forms that PROTOCOL.md and `fleetbench wire` show: 503 by default, or STRAY=400 or STRAY=421. */
std::string strayAnswer()
{
    const char *const value = std::getenv("STRAY");
    const std::string form = value == nullptr ? "503" : value;
    if (form == "400") {
        return answer("400 Bad Request", "Not-Executed: 1\r\n", "");
    }
    if (form == "421") {
        return answer("421 Misdirected Request", "Instance-Id: i-02d9e6b4\r\n", "");
    }
    return answer("503 Service Unavailable", "Not-Executed: 1\r\n", "");
}

} // namespace

void Ledger::sent(const std::string &attemptId, double time)
{
    const std::lock_guard lock(m_mutex);
    m_attempts[attemptId].sentAt = time;
}

void Ledger::ran(const std::string &attemptId)
{
    const std::lock_guard lock(m_mutex);
    ++m_attempts[attemptId].runs;
}

void Ledger::answered(const std::string &attemptId, unsigned status)
{
    const std::lock_guard lock(m_mutex);
    m_attempts[attemptId].status = status;
    m_attempts[attemptId].answered = true;
}

std::map<std::string, Ledger::Attempt> Ledger::attempts() const
{
    const std::lock_guard lock(m_mutex);
    return m_attempts;
}

PortalRunner::PortalRunner(std::string id, Record &record, Ledger &ledger)
    : m_id(std::move(id))
    , m_record(record)
    , m_ledger(ledger)
    , m_server([this](Connection &connection, const Request &request) {
        return handle(connection, request);
    })
{
}

const std::string &PortalRunner::id() const
{
    return m_id;
}

unsigned short PortalRunner::port() const
{
    return m_server.port();
}

void PortalRunner::end()
{
    m_server.end();
}

void PortalRunner::setExtraAnswers(bool extra, unsigned every)
{
    m_every = every;
    m_extra = extra;
}

bool PortalRunner::handle(Connection &connection, const Request &request)
{
    const std::string attemptId = header(request, "Attempt-Id");
    if (header(request, "Expect-Instance") != m_id) {
        return connection.write(answer("421 Misdirected Request", "Not-Executed: 1\r\nAttempt-Id: " + attemptId + "\r\nInstance-Id: " + m_id + "\r\n", ""));
    }
    if (drainAcknowledgedAt >= 0 && m_record.now() > drainAcknowledgedAt + kDrainMs) {
        ++arrivalsAfterDrain;
        m_record.line(m_id + " got " + attemptId + " " + std::to_string(static_cast<int>(m_record.now() - drainAcknowledgedAt)) + " ms after it was draining");
    }
    if (!connection.pendingExtra.empty()) {
        m_record.line(m_id + " sends the late second answer at the point where that to " + attemptId + " is expected");
        ++extras;
        const bool open = connection.write(std::exchange(connection.pendingExtra, {}));
        if (!open) {
            return false;
        }
    }
    m_ledger.ran(attemptId);
    m_record.line(m_id + " runs " + attemptId);
    std::this_thread::sleep_for(std::chrono::milliseconds(kWorkMs));
    const std::string head = "Attempt-Id: " + attemptId + "\r\nServer-Seal: " + m_id + "." + attemptId + "\r\nServer-Load: 1,0,6\r\nKeep-Alive: timeout=5\r\n";
    if (!connection.write(answer("200 OK", head, "exported " + attemptId))) {
        m_record.line(m_id + " could not answer " + attemptId);
        return false;
    }
    if (m_extra && ++answers % m_every == 0) {
        connection.pendingExtra = strayAnswer();
    }
    return true;
}

json::value portalConfiguration()
{
    const json::object route{{"name", "batch-export"},
                             {"host", kHost},
                             {"path_prefix", kPath},
                             {"kind", "non_idempotent"},
                             {"max_attempts", 1},
                             {"timeout_ms", 800},
                             {"slo_ms", 150},
                             {"priority", 2},
                             {"service", kService}};
    const json::object service{{"name", kService}, {"max_conns", 110}, {"slots", PortalRunner::kSlots}, {"health_path", "/healthz"}};
    return configuration({route}, {service});
}

void runPortalClients(const std::vector<Gateway> &gateways, unsigned clientsEach, unsigned pauseMs, double end, Record &record, Ledger &ledger)
{
    std::vector<std::thread> threads;
    for (const Gateway &gateway : gateways) {
        for (unsigned number = 0; number < clientsEach; ++number) {
            threads.emplace_back([&, number] {
                Client client(gateway.callers);
                for (unsigned i = 0; record.now() < end; ++i) {
                    const std::string attemptId = gateway.name + "-" + std::to_string(number) + "-" + std::to_string(i);
                    const double sentAt = record.now();
                    ledger.sent(attemptId, sentAt);
                    const Reply reply = client.send("POST", kPath + "2f", requestHead(kHost, attemptId, 1500), "batch");
                    ledger.answered(attemptId, reply.status);
                    record.line("client sent " + attemptId + " at " + std::to_string(static_cast<int>(sentAt)) + " and got " + std::to_string(reply.status)
                                + (reply.seal.empty() ? "" : " sealed " + reply.seal));
                    std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
                }
            });
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

} // namespace review
