#include "standins/load.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace fulmarlink::standins
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr int kHttp11 = 11;
constexpr const char *kLoopback = "127.0.0.1";
constexpr std::chrono::seconds kAttemptTimeout{30};
constexpr std::chrono::milliseconds kBackoff{100};
constexpr unsigned kMaxTokens = 24;
constexpr unsigned kMaxPromptBytes = 2000;
constexpr unsigned kPromptBeginnings = 20; ///< distinct beginnings, so that prompts share prefixes

std::string expectedBody(const std::string &serial, unsigned tokens)
{
    std::string body;
    for (unsigned i = 0; i < tokens; ++i) {
        body += "data: " + serial + ' ' + std::to_string(i) + "\n\n";
    }
    return body;
}

} // namespace

/** Outcome of one attempt. */
struct Load::Attempt {
    CallerRecord::End end = CallerRecord::End::Lost;
    std::string result; ///< Fulmarlink-Result of a refusal
    double firstByteMs = 0;
};

double LoadReport::percentile(double share) const
{
    if (firstByteMs.empty()) {
        return 0;
    }
    std::vector<double> sorted = firstByteMs;
    std::ranges::sort(sorted);
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

Load::Load(asio::io_context &context, LoadOptions options, std::vector<std::uint16_t> ports)
    : m_context(context)
    , m_options(options)
    , m_ports(std::move(ports))
    , m_records(options.requests)
{
}

void Load::start()
{
    for (unsigned i = 0; i < m_options.parallel; ++i) {
        asio::co_spawn(asio::make_strand(m_context), caller(i), asio::detached);
    }
}

asio::awaitable<void> Load::caller(unsigned first)
{
    for (unsigned index = first; index < m_options.requests; index += m_options.parallel) {
        co_await runRequest(index);
        ++m_done;
    }
}

asio::awaitable<void> Load::runRequest(unsigned index)
{
    using End = CallerRecord::End;
    Random random(m_options.seed * 1'000'003 + index);
    const double kind = std::uniform_real_distribution<double>(0, 1)(random);
    const bool service = kind < m_options.serviceShare;
    const bool single = !service && kind < m_options.serviceShare + m_options.singleRunShare;
    const std::string serial = "r" + std::to_string(m_options.seed) + '-' + std::to_string(index);
    const unsigned drawn = 1 + static_cast<unsigned>(random() % kMaxTokens);
    const unsigned tokens = service ? 0 : m_options.tokens != 0 ? m_options.tokens : drawn;

    HttpRequest request(service ? http::verb::get : http::verb::post, service ? "/status" : single ? "/v1/generate/note" : "/v1/generate/explain", kHttp11);
    request.set("X-Customer", "customer-" + std::to_string(random() % m_options.customers));
    request.set("X-Serial", serial);
    if (!service) {
        request.set("X-Tokens", std::to_string(tokens));
        request.body() = "prompt " + std::to_string(random() % kPromptBeginnings) + std::string(random() % kMaxPromptBytes, 'x');
    }
    if (single) {
        request.set("Idempotency-Key", serial);
    }
    m_records[index].serial = serial;
    m_records[index].singleRun = single;

    for (unsigned attempt = 0; attempt < m_options.maxTries; ++attempt) {
        const Attempt result = co_await send(m_ports[(index + attempt) % m_ports.size()], request, serial, tokens);
        recordAttempt(index, result);
        const bool again = result.end == End::NotRun || result.end == End::Unknown;
        if (!again) {
            break;
        }
        asio::steady_timer timer(co_await asio::this_coro::executor, kBackoff * (1U << std::min(attempt, 4U)));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void Load::recordAttempt(unsigned index, const Attempt &result)
{
    using End = CallerRecord::End;
    CallerRecord &record = m_records[index];
    // A "not run" result covers its own attempt only, so it can't settle an earlier unknown outcome.
    record.end = record.end == End::Unknown && result.end == End::NotRun ? End::Unknown : result.end;
    const std::lock_guard lock(m_mutex);
    ++m_report.tries;
    if (!result.result.empty()) {
        ++m_report.refusals[result.result];
    }
    if (result.end == End::Answered) {
        m_report.firstByteMs.push_back(result.firstByteMs);
    }
}

asio::awaitable<Load::Attempt> Load::send(std::uint16_t port, HttpRequest request, const std::string &serial, unsigned tokens)
{
    using End = CallerRecord::End;
    Attempt result;
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    const auto begin = std::chrono::steady_clock::now();
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(kAttemptTimeout);
    co_await stream.async_connect({asio::ip::make_address(kLoopback), port}, token);
    if (error) {
        result.end = End::NotRun;
        result.result = "connect failed";
        co_return result;
    }
    request.set(http::field::host, kLoopback);
    request.keep_alive(false);
    request.prepare_payload();
    co_await http::async_write(stream, request, token);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    co_await http::async_read_header(stream, buffer, parser, token);
    if (error) {
        co_return result; // neither a response nor a result code
    }
    result.firstByteMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
    co_await http::async_read(stream, buffer, parser, token);
    const auto &response = parser.get();
    const auto code = response["Fulmarlink-Result"];
    if (!code.empty()) {
        result.result = std::string(code.data(), code.size());
        result.end = response["Fulmarlink-Outcome"] == "not-run" ? End::NotRun : End::Unknown;
        co_return result;
    }
    if (error) {
        result.end = End::Unknown; // the response was truncated, which the caller can detect
        result.result = "broken off";
        co_return result;
    }
    if (response["X-Serial"] != serial) {
        result.end = End::Misdelivered;
        co_return result;
    }
    result.end = tokens > 0 && response.body() != expectedBody(serial, tokens) ? End::WrongBody : End::Answered;
    co_return result;
}

bool Load::finished() const
{
    return m_done == m_options.requests;
}

unsigned Load::done() const
{
    return m_done;
}

LoadReport Load::report(const std::map<std::string, unsigned> &executions) const
{
    using End = CallerRecord::End;
    const std::lock_guard lock(m_mutex);
    LoadReport report = m_report;
    for (const CallerRecord &record : m_records) {
        ++report.sent;
        const auto it = executions.find(record.serial);
        const unsigned runs = it == executions.end() ? 0 : it->second;
        report.answered += record.end == End::Answered ? 1 : 0;
        report.notRun += record.end == End::NotRun ? 1 : 0;
        report.unknown += record.end == End::Unknown ? 1 : 0;
        report.lost += record.end == End::Lost || record.end == End::Pending ? 1 : 0;
        report.misdelivered += record.end == End::Misdelivered ? 1 : 0;
        report.wrongBody += record.end == End::WrongBody ? 1 : 0;
        report.falseNotRun += record.end == End::NotRun && runs > 0 ? 1 : 0;
        report.duplicateRuns += record.singleRun && runs > 1 ? 1 : 0;
    }
    return report;
}

} // namespace fulmarlink::standins
