#include "testing/harness/freeport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <unistd.h>

namespace fulmarlink::testing
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr unsigned kFirst = 17'000; ///< below are the ports of soaks, whose gateways leave theirs free while they restart
constexpr unsigned kPorts = 15'000; ///< up to 32,000; the system's own range begins at 32,768
constexpr unsigned kStride = 131; ///< between processes whose ids follow each other

bool canBind(std::uint16_t port)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::v4());
    boost::system::error_code error;
    acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
    return !error;
}

} // namespace

std::uint16_t freePort()
{
    static unsigned next = static_cast<unsigned>(getpid()) * kStride;
    std::uint16_t port = 0;
    do {
        port = static_cast<std::uint16_t>(kFirst + next++ % kPorts);
    } while (!canBind(port));
    return port;
}

} // namespace fulmarlink::testing
