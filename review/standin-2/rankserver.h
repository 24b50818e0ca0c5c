#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <random>
#include <string>

#include "review/standin-2/rankgroup.h"

namespace review
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** The troubles of a rank's control calls. */
struct RankTrouble {
    double lateOrders = 0; ///< share of the orders that get no answer and are carried out 2 to 12 s later
    double extraAnswers = 0; ///< share of the answers that are sent a second time, where the next answer on the connection is expected
};

/**
 * The HTTP side of a rank: streams of events, one for each pass, and the control calls. Every answer echoes the call's Attempt-Id, if it has one.
 */
class RankServer
{
public:
    RankServer(boost::asio::io_context &context, RankGroup &group, unsigned rank, unsigned seed);

    /** Listens on a free loopback port and returns it. */
    std::uint16_t listen();
    const std::string &id() const;
    /** Wakes the streams: a pass has ended. */
    void passEnded();

    RankTrouble trouble;
    unsigned events = 24; ///< of a stream
    std::function<void(const std::string &)> log;

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    /** The whole answer to a control call; empty: it gets none. */
    std::string controlAnswer(const HttpRequest &request);
    std::string orderAnswer(const HttpRequest &request);
    boost::asio::awaitable<void> carryOutLate(std::string body);
    boost::asio::awaitable<bool> stream(boost::beast::tcp_stream &connection, const HttpRequest &request);
    bool chance(double probability);

    boost::asio::io_context &m_context;
    RankGroup &m_group;
    const unsigned m_rank;
    const std::string m_id;
    std::mt19937 m_random;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_passTimer;
};

} // namespace review
