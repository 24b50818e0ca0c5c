#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "fulmarlink/counters.h"
#include "fulmarlink/httpclient.h"
#include "fulmarlink/objectstore.h"

namespace fulmarlink
{

/**
 * The object API over HTTP: GET and PUT of /v1/objects/KEY, the version as ETag,
 * conditions as If-Match and If-None-Match, watches as GET with ?above=VERSION.
 */
class HttpObjectStore final : public ObjectStore
{
public:
    HttpObjectStore(boost::asio::any_io_executor executor, HttpTarget target, Counters &counters);

    void get(const std::string &key, Callback callback) override;
    void put(const std::string &key, std::uint64_t expected, const std::string &text, Callback callback) override;
    void watch(const std::string &key, std::uint64_t above, Callback callback) override;

private:
    void call(HttpRequest request, std::chrono::milliseconds timeout, Callback callback);

    boost::asio::any_io_executor m_executor;
    HttpTarget m_target;
    Counters &m_counters;
    Counters::Id m_calls;
    Counters::Id m_failures;
};

} // namespace fulmarlink
