#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/httpclient.h"

namespace fulmarlink
{

/** The answer to a read, and the time at which its call began: what it says held then or later. */
struct DatedAnswer {
    HttpResult result;
    TimePoint began{};
};

/**
 * Reads whose answers are of use even if they arrive late.
 *
 * A read that is not answered in time fails, but its call goes on, and the next read of the same key takes the answer. So a store that takes
 * longer than the timeout still tells something, and no call to it is made in vain.
 *
 * Contract: one read of a key at a time. Answers of a key are returned in the order in which their calls began; one that is overtaken is
 * dropped. While a call is open the next one begins a timeout later at the earliest, and a call is given kAnswerTimeouts of them to connect
 * and as many for its answer, which bounds how many are open. Not thread-safe.
 */
class StoreReads
{
public:
    /** Makes one call that ends after the given time. */
    using Call = std::function<boost::asio::awaitable<HttpResult>(std::chrono::milliseconds)>;

    static constexpr unsigned kAnswerTimeouts = 6; ///< a store that takes longer counts as away

    StoreReads(boost::asio::any_io_executor executor, const Clock &clock);
    ~StoreReads();

    boost::asio::awaitable<DatedAnswer> read(std::string key, Call call, std::chrono::milliseconds timeout);

private:
    struct Key;

    boost::asio::awaitable<void> run(std::shared_ptr<Key> key, Call call, std::chrono::milliseconds timeout);

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    std::map<std::string, std::shared_ptr<Key>> m_keys;
};

} // namespace fulmarlink
