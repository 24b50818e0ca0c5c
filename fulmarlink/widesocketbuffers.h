#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace fulmarlink
{

class MemoryLease;

/** Sets SO_RCVBUF and SO_SNDBUF, and the largest window to advertise, of a socket that is in use. */
void setSocketBuffers(boost::asio::ip::tcp::socket &socket, std::size_t bytes);

/**
 * Gives a caller's socket larger kernel buffers for the transfer of a large request or answer, if the lease grants the memory, and sets
 * them back at the end. Both arguments must outlive it.
 */
class WideSocketBuffers
{
public:
    WideSocketBuffers(boost::asio::ip::tcp::socket &socket, MemoryLease &lease);
    ~WideSocketBuffers();
    WideSocketBuffers(const WideSocketBuffers &) = delete;
    WideSocketBuffers &operator=(const WideSocketBuffers &) = delete;

private:
    boost::asio::ip::tcp::socket &m_socket;
    const bool m_granted;
};

} // namespace fulmarlink
