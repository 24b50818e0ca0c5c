// Case 3: an entry of another writer stands in the list of runners, with bytes that can't be read, while the runners of a service are replaced
// one after the other. Do the others hold?

#include <cstdlib>
#include <iostream>
#include <thread>

#include "review/standin/portal.h"

using namespace review;

namespace
{

constexpr double kLengthMs = 34000;
constexpr unsigned kGateways = 2;
constexpr unsigned kRunners = 3;
constexpr unsigned kClientsEach = 6;
constexpr unsigned kPauseMs = 60;
constexpr double kEntryAtMs = 6000;
constexpr double kReleaseAtMs = 10000;
constexpr double kReleaseGapMs = 4000;
constexpr double kServesOnMs = kDrainMs + 1500; ///< a runner goes on for drain_ms and a little longer
constexpr double kReplacedAtMs = kReleaseAtMs + (kRunners - 1) * kReleaseGapMs + kServesOnMs; ///< all former runners have left

constexpr std::size_t kNesting = 300;
const std::string kKind = "servers";

/**
 * The entry of another writer, as JSON text. All forms are JSON by the grammar of RFC 8259, but for "raw".
 * "escape": a string with the byte FF, which is no UTF-8, as an encoder writes it that escapes what it can't decode (section 8.2 of the RFC).
 */
std::string entryOfAnotherWriter()
{
    const char *const value = std::getenv("ENTRY");
    const std::string form = value == nullptr ? "escape" : value;
    std::string addr = R"("\udcff")";
    if (form == "raw") {
        addr = "\"\xff\""; // the byte itself
    } else if (form == "number") {
        addr = "1e99999999999"; // of another type
    } else if (form == "nested") {
        addr = std::string(kNesting, '[') + std::string(kNesting, ']'); // of another type
    }
    return R"({"service":"branch-portal","zone":"lx-alfragide","state":"ready","addr":)" + addr + '}';
}

class Release
{
public:
    Release(Store &store, Record &record, Ledger &ledger)
        : m_store(store)
        , m_record(record)
        , m_ledger(ledger)
    {
        for (unsigned i = 0; i < kRunners; ++i) {
            start();
        }
    }

    /** The new one starts first, then the old one drains, serves on and exits. */
    void play()
    {
        for (unsigned i = 0; i < kRunners; ++i) {
            sleepUntil(kReleaseAtMs + i * kReleaseGapMs);
            start();
            PortalRunner &old = *m_runners[i];
            m_store.set(kKind, old.id(), runnerEntry("branch-portal", old.port(), PortalRunner::kSlots, "draining"));
            old.drainAcknowledgedAt = m_record.now();
            m_record.line("the store has accepted that " + old.id() + " is draining");
            m_leaving.emplace_back([this, &old] {
                std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(kServesOnMs));
                m_store.remove(kKind, old.id());
                old.end();
                m_record.line(old.id() + " has left");
            });
        }
        for (std::thread &thread : m_leaving) {
            thread.join();
        }
    }

    void sleepUntil(double time) const
    {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(time - m_record.now()));
    }

    unsigned arrivalsAfterDrain() const
    {
        unsigned total = 0;
        for (const auto &runner : m_runners) {
            total += runner->arrivalsAfterDrain;
        }
        return total;
    }

private:
    void start()
    {
        m_runners.push_back(std::make_unique<PortalRunner>("i-0" + std::to_string(m_runners.size() + 1), m_record, m_ledger));
        const PortalRunner &runner = *m_runners.back();
        m_store.set(kKind, runner.id(), runnerEntry("branch-portal", runner.port(), PortalRunner::kSlots, "ready"));
        m_record.line(runner.id() + " has started");
    }

    Store &m_store;
    Record &m_record;
    Ledger &m_ledger;
    std::vector<std::unique_ptr<PortalRunner>> m_runners;
    std::vector<std::thread> m_leaving;
};

} // namespace

int main(int argc, const char **argv)
{
    if (argc != 3) {
        return kCouldNotRun;
    }
    Record record(argv[2]);
    Store store;
    Ledger ledger;
    Release release(store, record, ledger);
    store.set("config", "main", portalConfiguration());
    const std::vector<Gateway> gateways = announceGateways(argv[1], kGateways, store.port());
    if (!awaitReady(gateways)) {
        record.line("the gateways did not become ready");
        std::_Exit(kCouldNotRun);
    }
    record.line("ready");
    std::thread disruption([&] {
        release.sleepUntil(kEntryAtMs);
        if (withTrouble()) {
            const std::string entry = entryOfAnotherWriter();
            store.set(kKind, "x-of-another-writer", entry);
            record.line("another writer's entry: " + entry);
        }
        release.play();
    });
    runPortalClients(gateways, kClientsEach, kPauseMs, kLengthMs, record, ledger);
    disruption.join();

    unsigned sentBefore = 0; // while a former runner was there
    unsigned servedBefore = 0;
    unsigned sentAfter = 0;
    unsigned servedAfter = 0;
    unsigned unanswered = 0;
    for (const auto &[id, attempt] : ledger.attempts()) {
        const bool after = attempt.sentAt > kReplacedAtMs;
        const bool served = attempt.status == 200;
        (after ? sentAfter : sentBefore) += 1;
        (after ? servedAfter : servedBefore) += served ? 1 : 0;
        if (attempt.runs > 0 && !served) {
            ++unanswered;
            record.line("run and not answered: " + id + "; its client got " + std::to_string(attempt.status));
        }
    }
    const unsigned late = release.arrivalsAfterDrain();
    const std::string result = "requests that reached a runner later than drain_ms: " + std::to_string(late) + "; run and not answered: "
                               + std::to_string(unanswered) + "; served until the last former runner had left: " + std::to_string(servedBefore) + " of "
                               + std::to_string(sentBefore) + ", after that: " + std::to_string(servedAfter) + " of " + std::to_string(sentAfter);
    record.line("result: " + result);
    std::cout << result << '\n' << std::flush;
    std::_Exit(late > 0 ? kBroken : kHeld);
}
