#include "review/standin/ranks.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>
#include <numeric>
#include <thread>

#include "review/standin/deployment.h"

namespace review
{

namespace json = boost::json;

namespace
{

constexpr std::uint64_t kEpoch = 1;
constexpr double kChoicesPerPass = 4000; ///< of one rank
constexpr double kMaxGarbled = 0.0205; ///< of the answers of the faulty rank: the site's largest dose of this variant
constexpr double kMaxLate = 0.35; ///< of the orders: the pages' largest dose
constexpr auto kLateBy = std::chrono::seconds(3); ///< the pages say 2 to 12 s
constexpr unsigned kSlots = 12;
const std::string kJson = "Content-Type: application/json\r\n";
const std::string kOk = "200 OK";
const std::string kAccepted = "202 Accepted";
const std::string kConflict = "409 Conflict";

std::uint64_t number(const json::object &order, const char *name)
{
    const json::value *const value = order.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

} // namespace

RankGroup::RankGroup(GroupOptions options, Record &record)
    : m_options(options)
    , m_record(record)
    , m_ranks(options.ranks)
    , m_demand(options.experts, 1)
{
    ExpertMap map(options.ranks); // map 0 assigns the experts in turn
    for (unsigned slot = 0; slot < options.ranks * options.placements; ++slot) {
        const unsigned expert = slot % options.experts;
        auto &held = map[slot % options.ranks];
        if (std::ranges::find(held, expert) == held.end()) {
            held.push_back(expert);
        }
    }
    for (unsigned i = 0; i < options.ranks; ++i) {
        Rank &rank = m_ranks[i];
        rank.id = "i-rank" + std::to_string(i);
        rank.map = map;
        rank.chosen.resize(options.experts);
    }
    snapshot();
    for (unsigned i = 0; i < options.ranks; ++i) {
        m_ranks[i].server = std::make_unique<Server>([this, i](Connection &connection, const Request &request) {
            return handle(i, connection, request);
        });
    }
    std::thread([this] {
        runPasses();
    }).detach();
}

void RankGroup::list(Store &store, const std::string &service) const
{
    for (const Rank &rank : m_ranks) {
        json::value entry = runnerEntry(service, rank.server->port(), kSlots, "ready");
        entry.as_object()["stage"] = "unified";
        entry.as_object()["models"] = json::array{json::object{{"name", "m"}}};
        store.set("servers", rank.id, entry);
    }
}

json::value RankGroup::service(const std::string &name) const
{
    const json::object engine{{"slots", kSlots},
                              {"kv_capacity_tokens", 280000},
                              {"kv_bytes", 35136},
                              {"link_mbps", 180000.0},
                              {"stride", 4},
                              {"models", json::array{json::object{{"name", "m"}}}},
                              {"step_ms", 4.55},
                              {"per_seq_ms", 0.905},
                              {"context_per_k", 0.0183},
                              {"read_per_s", 61400.0},
                              {"pairs_per_m", 0.525},
                              {"chunk", 512},
                              {"report_lag_ms", m_options.reportLagMs},
                              {"usual", json::object{{"prompt", 835}, {"answer", 24}}},
                              {"sets", 1},
                              {"experts", m_options.experts},
                              {"placements", m_options.placements},
                              {"spare", m_options.spare},
                              {"expert_mb", 2500.0},
                              {"expert_share", m_options.expertShare},
                              {"form_ms", 600.0}};
    return json::object{{"name", name}, {"health_path", "/healthz"}, {"max_conns", 258}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}};
}

void RankGroup::setHotExpert(unsigned expert)
{
    const std::lock_guard lock(m_mutex);
    m_demand.assign(m_options.experts, 1);
    m_demand[expert % m_options.experts] = m_options.experts;
    m_record.line("expert_shift: expert " + std::to_string(expert % m_options.experts) + " is in demand");
}

void RankGroup::setGarble(bool on)
{
    const std::lock_guard lock(m_mutex);
    m_garble = on;
    m_record.line(std::string("garble (extra) ") + (on ? "begins at i-rank1" : "ends"));
}

void RankGroup::setAppliedLate(bool on)
{
    const std::lock_guard lock(m_mutex);
    m_appliedLate = on;
    m_record.line(std::string("applied_late ") + (on ? "begins" : "ends"));
}

GroupCounts RankGroup::counts()
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

bool RankGroup::isFaulty(unsigned rank) const
{
    return rank == 1; // one of four: a share of 0.25
}

/** Busiest rank's part of the work for experts, divided by the mean. */
double RankGroup::imbalance() const
{
    const ExpertMap &map = m_ranks.front().map;
    std::vector<double> load(m_options.ranks);
    for (unsigned expert = 0; expert < m_options.experts; ++expert) {
        const auto holds = [expert](const std::vector<unsigned> &held) {
            return std::ranges::find(held, expert) != held.end();
        };
        const auto holders = static_cast<double>(std::ranges::count_if(map, holds));
        for (unsigned rank = 0; rank < m_options.ranks; ++rank) {
            load[rank] += holds(map[rank]) ? m_demand[expert] / holders : 0;
        }
    }
    const double total = std::accumulate(load.begin(), load.end(), 0.0);
    return *std::ranges::max_element(load) * m_options.ranks / total;
}

void RankGroup::runPasses()
{
    auto lastSnapshot = Clock::now();
    for (;;) {
        double passMs = 0;
        {
            const std::lock_guard lock(m_mutex);
            if (Clock::now() - lastSnapshot > std::chrono::milliseconds(20)) {
                lastSnapshot = Clock::now();
                snapshot();
            }
            const bool idle = std::ranges::all_of(m_ranks, [](const Rank &rank) {
                return rank.streams == 0;
            });
            const bool held = std::ranges::any_of(m_ranks, [this](const Rank &rank) {
                return rank.heldStep == m_step + 1;
            });
            if (!idle && !held) {
                beginPass();
                passMs = m_options.passMs * (1 - m_options.expertShare + m_options.expertShare * imbalance());
            }
        }
        if (passMs == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            continue;
        }
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(passMs));
        const std::lock_guard lock(m_mutex);
        m_endedStep = m_step;
        m_passEnded.notify_all();
    }
}

void RankGroup::beginPass()
{
    ++m_step;
    ++m_counts.passes;
    bool switched = false;
    for (Rank &rank : m_ranks) {
        if (rank.armedVersion != 0 && rank.armedStep == m_step) {
            rank.mapVersion = rank.armedVersion;
            rank.map = rank.prepared->map;
            rank.armedVersion = 0;
            switched = true;
        }
    }
    checkMaps();
    if (switched) {
        ++m_counts.switches;
        std::string text = "pass " + std::to_string(m_step) + " begins with new maps:";
        for (const Rank &rank : m_ranks) {
            text += ' ' + rank.id + '=' + std::to_string(rank.mapVersion);
        }
        m_record.line(text);
    }
    const double total = std::accumulate(m_demand.begin(), m_demand.end(), 0.0);
    for (Rank &rank : m_ranks) {
        for (unsigned expert = 0; expert < m_options.experts; ++expert) {
            rank.chosen[expert] += static_cast<std::uint64_t>(kChoicesPerPass * m_demand[expert] / total);
        }
    }
}

void RankGroup::checkMaps()
{
    const bool mixed = std::ranges::any_of(m_ranks, [this](const Rank &rank) {
        return rank.mapVersion != m_ranks.front().mapVersion || rank.map != m_ranks.front().map;
    });
    m_counts.mixedPasses += mixed ? 1 : 0;
    if (mixed && !m_wasMixed) {
        std::string text = "MAP: pass " + std::to_string(m_step) + " begins with different maps:";
        for (const Rank &rank : m_ranks) {
            text += ' ' + rank.id + '=' + std::to_string(rank.mapVersion);
        }
        m_record.line(text);
    }
    m_wasMixed = mixed;
}

/** Notes what each rank would say of itself now; reports are given as of some time ago. */
void RankGroup::snapshot()
{
    for (unsigned i = 0; i < m_options.ranks; ++i) {
        Rank &rank = m_ranks[i];
        const bool copied = rank.prepared && Clock::now() >= rank.prepared->copiedAt;
        json::object report{{"stage", "unified"},
                            {"models", json::array{json::object{{"name", "m"}, {"version", 1}, {"adapters", json::array{}}}}},
                            {"busy", false},
                            {"call_seq", rank.callSeq},
                            {"waiting", 0},
                            {"running", rank.streams},
                            {"kv_used", 1000},
                            {"kv_total", 280000},
                            {"handles", 0},
                            {"pace", 1.0},
                            {"group", json::object{{"name", "g1"}, {"epoch", kEpoch}, {"rank", i}, {"state", "open"}}},
                            {"size", m_options.ranks},
                            {"step", m_step},
                            {"map", rank.mapVersion},
                            {"prepared", copied ? rank.prepared->version : 0},
                            {"armed", nullptr},
                            {"held", nullptr}};
        if (rank.armedVersion != 0) {
            report["armed"] = json::object{{"version", rank.armedVersion}, {"step", rank.armedStep}};
        }
        if (rank.heldStep && *rank.heldStep > m_step) {
            report["held"] = *rank.heldStep;
        }
        rank.reports.push_back({Clock::now(), std::string(json::serialize(report))});
        const auto lag = std::chrono::duration<double, std::milli>(m_options.reportLagMs);
        while (rank.reports.size() > 1 && Clock::now() - rank.reports[1].time >= lag) {
            rank.reports.pop_front();
        }
    }
}

std::string RankGroup::laggedReport(unsigned rank)
{
    const std::lock_guard lock(m_mutex);
    return answer(kOk, kJson, m_ranks[rank].reports.front().text);
}

std::string RankGroup::picked(unsigned rank, bool lists)
{
    const std::lock_guard lock(m_mutex);
    const Rank &state = m_ranks[rank];
    if (!lists) {
        return answer(kOk, kJson, json::serialize(json::object{{"step", m_step}, {"epoch", kEpoch}, {"counts", json::value_from(state.chosen)}}));
    }
    json::object body{{"map", json::object{{"version", state.mapVersion}, {"experts", json::array{json::value_from(state.map[rank])}}}}, {"prepared", nullptr}};
    if (state.prepared) {
        body["prepared"] = json::object{{"version", state.prepared->version}, {"experts", json::array{json::value_from(state.prepared->map[rank])}}};
    }
    return answer(kOk, kJson, json::serialize(body));
}

std::string RankGroup::prepare(Rank &rank, unsigned index, const json::object &order)
{
    const std::uint64_t version = number(order, "version");
    const auto map = json::value_to<std::vector<ExpertMap>>(order.at("map")).front();
    const auto &had = rank.map[index];
    const auto added = std::ranges::count_if(map.at(index), [&](unsigned expert) {
        return std::ranges::find(had, expert) == had.end();
    });
    if (version <= rank.highestVersion || rank.armedVersion != 0 || added > m_options.spare) {
        return kConflict;
    }
    const auto copyTime = std::chrono::duration<double, std::milli>(static_cast<double>(added) * m_options.copyMs);
    rank.highestVersion = version;
    rank.prepared = Prepared{version, map, Clock::now() + std::chrono::duration_cast<Clock::duration>(copyTime)};
    return kAccepted;
}

std::string RankGroup::arm(Rank &rank, const json::object &order) const
{
    const std::uint64_t step = number(order, "step");
    const bool copied = rank.prepared && rank.prepared->version == number(order, "version") && Clock::now() >= rank.prepared->copiedAt;
    if (!copied || step <= m_step) {
        return kConflict;
    }
    rank.armedVersion = rank.prepared->version;
    rank.armedStep = step;
    return kAccepted;
}

std::string RankGroup::hold(Rank &rank, const json::object &order) const
{
    const std::uint64_t step = number(order, "step");
    const bool another = rank.heldStep && *rank.heldStep > m_step && *rank.heldStep != step;
    if (step <= m_step || another) {
        return kConflict;
    }
    rank.heldStep = step;
    return kAccepted;
}

/** Carries an order out; returns the status of its answer. */
std::string RankGroup::carryOut(unsigned rank, const json::object &order)
{
    const std::lock_guard lock(m_mutex);
    Rank &state = m_ranks[rank];
    const std::string operation(order.at("operation").as_string());
    std::string status = kConflict;
    if (order.contains("epoch") && number(order, "epoch") != kEpoch) {
        status = kConflict;
    } else if (operation == "prepare") {
        status = prepare(state, rank, order);
    } else if (operation == "arm") {
        status = arm(state, order);
    } else if (operation == "hold") {
        status = hold(state, order);
    } else if (operation == "go") {
        status = kOk;
        if (state.heldStep == number(order, "step")) {
            state.heldStep.reset();
        }
    } else if (operation == "disarm") {
        const bool armed = state.armedVersion == number(order, "version");
        status = armed ? kOk : kConflict;
        state.armedVersion = armed ? 0 : state.armedVersion;
    } else {
        status = "400 Bad Request";
    }
    state.callSeq += status == kAccepted ? 1 : 0;
    m_record.line(state.id + " " + operation + " version " + std::to_string(number(order, "version")) + " step " + std::to_string(number(order, "step")) + ": "
                  + status);
    return status;
}

/** One arm order at a faulty rank for each second answer, within the dose. */
bool RankGroup::chooseLate(unsigned rank, const std::string &operation)
{
    const std::lock_guard lock(m_mutex);
    if (!m_appliedLate) {
        return false;
    }
    ++m_counts.orders;
    const bool withinDose = m_counts.lateOrders + 1 <= kMaxLate * m_counts.orders;
    const bool chosen = operation == "arm" && rank == 1 && withinDose;
    m_counts.lateOrders += chosen ? 1 : 0;
    return chosen;
}

bool RankGroup::write(unsigned rank, Connection &connection, const std::string &bytes, bool mayBeDoubled)
{
    bool doubled = false;
    if (isFaulty(rank)) {
        const std::lock_guard lock(m_mutex);
        m_counts.answers += m_garble ? 1 : 0;
        doubled = m_garble && mayBeDoubled && m_counts.extras + 1 <= kMaxGarbled * m_counts.answers;
        m_counts.extras += doubled ? 1 : 0;
    }
    if (doubled) {
        m_record.line(m_ranks[rank].id + " sends a second copy of its answer");
    }
    return connection.write(doubled ? bytes + bytes : bytes);
}

bool RankGroup::serveOrder(unsigned rank, Connection &connection, const Request &request)
{
    boost::system::error_code error;
    const json::value order = json::parse(request.body(), error);
    if (error || !order.is_object()) {
        return write(rank, connection, answer("400 Bad Request", kJson, "{}"), false);
    }
    const std::string operation(order.at("operation").as_string());
    if (chooseLate(rank, operation)) {
        m_record.line(m_ranks[rank].id + " leaves the order " + operation + " unanswered and carries it out late");
        std::thread([this, rank, order] {
            std::this_thread::sleep_for(kLateBy);
            carryOut(rank, order.as_object());
        }).detach();
        Request ignored;
        while (connection.read(ignored)) { // nothing more comes on this connection
        }
        return false;
    }
    const std::string status = carryOut(rank, order.as_object());
    return write(rank, connection, answer(status, kJson, "{}"), operation == "prepare" && rank == 1);
}

bool RankGroup::serveStream(unsigned rank, Connection &connection, const Request &request)
{
    const std::string attemptId = header(request, "Attempt-Id");
    const std::string last = header(request, "Last-Event-Id");
    const unsigned first = last.empty() ? 1 : static_cast<unsigned>(std::stoul(last)) + 1;
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nServer-Seal: " + m_ranks[rank].id + '.' + attemptId
                             + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n";
    bool open = write(rank, connection, head, false);
    std::unique_lock lock(m_mutex);
    ++m_ranks[rank].streams;
    std::uint64_t seen = m_step; // a pass that has begun already is not this stream's
    for (unsigned event = first; event <= m_options.events && open; ++event) {
        m_passEnded.wait(lock, [&] {
            return m_endedStep > seen;
        });
        seen = m_endedStep;
        lock.unlock();
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + attemptId + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        open = connection.write(size + text + "\r\n");
        lock.lock();
    }
    --m_ranks[rank].streams;
    lock.unlock();
    return open && connection.write("0\r\n\r\n");
}

bool RankGroup::handle(unsigned rank, Connection &connection, const Request &request)
{
    const std::string target(request.target());
    const std::string expected = header(request, "Expect-Instance");
    if (!expected.empty() && expected != m_ranks[rank].id) {
        return write(rank, connection, answer("421 Misdirected Request", "Not-Executed: 1\r\nInstance-Id: " + m_ranks[rank].id + "\r\n", ""), false);
    }
    if (target == "/v1/report") {
        return write(rank, connection, laggedReport(rank), false);
    }
    if (target.starts_with("/v1/picked")) {
        return write(rank, connection, picked(rank, target.find("lists") != std::string::npos), false);
    }
    if (target == "/v1/order") {
        return serveOrder(rank, connection, request);
    }
    if (target == "/healthz") {
        return write(rank, connection, answer(kOk, "Instance-Id: " + m_ranks[rank].id + "\r\n", ""), false);
    }
    return serveStream(rank, connection, request);
}

} // namespace review
