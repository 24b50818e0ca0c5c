#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace review
{

/** What a client has seen of one attempt. */
struct ClientAnswer {
    bool connected = false;
    bool complete = false; ///< the whole answer has come, as its framing says
    unsigned status = 0; ///< 0: no answer has begun
    std::string seal;
    std::string body;
};

/** A request of a client, as the platform's page describes it. */
struct ClientRequest {
    std::string method = "POST";
    std::string target;
    std::string attemptId;
    std::string key;
    unsigned deadlineMs = 8000;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/** Sends @p request on a new connection to a host on loopback and reads the answer until the deadline. */
boost::asio::awaitable<ClientAnswer> sendRequest(std::uint16_t port, ClientRequest request);

/** True if the host answers its readiness probe with 200. */
boost::asio::awaitable<bool> isReady(std::uint16_t port);

/** Free loopback ports that the system gives to no outgoing connection. */
std::vector<std::uint16_t> freePorts(boost::asio::io_context &context, std::size_t count);

} // namespace review
