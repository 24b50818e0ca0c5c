// Each co_await is a statement of its own; the reason is in gatewayexchange.cpp.

#include "fulmarlink/storereads.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <optional>
#include <utility>

#include "fulmarlink/log.h"
#include "fulmarlink/resultcode.h"
#include "fulmarlink/supervised.h"

namespace fulmarlink
{

namespace asio = boost::asio;

/** The calls of one key. */
struct StoreReads::Key {
    struct Answer {
        DatedAnswer dated;
        bool tellsState = false; ///< not a refusal
    };

    explicit Key(const asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    /** Keeps the answer of the call that began at @p began, unless a later call has been answered. A refusal does not overtake an answer. */
    void addAnswer(HttpResult result, TimePoint began)
    {
        const auto status = result.response.result();
        const bool tellsState = status == boost::beast::http::status::ok || status == boost::beast::http::status::not_found;
        const bool hasAnswer = answer && answer->tellsState;
        if (began <= answeredBegan || (!tellsState && hasAnswer)) {
            return;
        }
        answeredBegan = tellsState ? began : answeredBegan;
        answer = Answer{{std::move(result), began}, tellsState};
    }

    asio::steady_timer changed; ///< cancelled when a call ends
    unsigned openCalls = 0;
    TimePoint lastBegan{}; ///< when the latest call began
    TimePoint answeredBegan{}; ///< when the latest answered call began
    std::optional<Answer> answer; ///< not returned yet
    std::error_code lastError = ResultCode::StoreAnswerLost; ///< of the latest call that failed
};

StoreReads::StoreReads(asio::any_io_executor executor, const Clock &clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
{
}

StoreReads::~StoreReads() = default;

asio::awaitable<void> StoreReads::run(std::shared_ptr<Key> key, Call call, std::chrono::milliseconds timeout)
{
    const TimePoint began = m_clock.now();
    HttpResult result;
    std::exception_ptr error;
    try {
        result = co_await call(timeout * kAnswerTimeouts);
    } catch (...) {
        error = std::current_exception();
    }
    if (error) { // must not end the process; the reader sees a lost answer
        logWarning("platform-call-broke-off", {{"call", "store-read"}, {"error", whatOf(error)}});
        result.error = ResultCode::StoreAnswerLost;
    }
    --key->openCalls;
    if (result.error) {
        key->lastError = result.error;
    } else {
        key->addAnswer(std::move(result), began);
    }
    key->changed.cancel();
}

asio::awaitable<DatedAnswer> StoreReads::read(std::string name, Call call, std::chrono::milliseconds timeout)
{
    std::shared_ptr<Key> &entry = m_keys[name];
    if (!entry) {
        entry = std::make_shared<Key>(m_executor);
    }
    const std::shared_ptr<Key> key = entry; // the entry's address may change while this coroutine waits
    const TimePoint waitEnd = m_clock.now() + timeout;
    boost::system::error_code ignored; // the timer is cancelled when a call ends
    bool called = false; // one call a read at most
    while (!key->answer && m_clock.now() < waitEnd) {
        const TimePoint dueAt = key->openCalls == 0 ? m_clock.now() : key->lastBegan + timeout;
        if (!called && dueAt <= m_clock.now()) {
            called = true;
            ++key->openCalls;
            key->lastBegan = m_clock.now();
            asio::co_spawn(m_executor, run(key, call, timeout), asio::detached);
        }
        if (key->openCalls == 0) {
            break;
        }
        key->changed.expires_after((called ? waitEnd : std::min(waitEnd, dueAt)) - m_clock.now());
        co_await key->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (key->answer) {
        DatedAnswer answer = std::move(key->answer->dated);
        key->answer.reset();
        co_return answer;
    }
    DatedAnswer failed;
    failed.result.error = key->openCalls > 0 ? ResultCode::StoreAnswerLost : key->lastError;
    co_return failed;
}

} // namespace fulmarlink
