#include "fulmarlink/widesocketbuffers.h"

#include <netinet/tcp.h>

#include "fulmarlink/memorylease.h"
#include "fulmarlink/memoryplan.h"

namespace fulmarlink
{

namespace
{

constexpr std::size_t kMoreKernelBytes = MemoryPlan::socketBytes(MemoryPlan::kLargeSocketBufferBytes) - MemoryPlan::socketBytes(MemoryPlan::kSocketBufferBytes);

using WindowClamp = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_WINDOW_CLAMP>;

} // namespace

void setSocketBuffers(boost::asio::ip::tcp::socket &socket, std::size_t bytes)
{
    using Socket = boost::asio::ip::tcp::socket;
    const int size = static_cast<int>(bytes);
    boost::system::error_code ignored; // the sizes in use so far serve as well, only more slowly
    socket.set_option(Socket::receive_buffer_size(size), ignored);
    socket.set_option(Socket::send_buffer_size(size), ignored);
    socket.set_option(WindowClamp(size), ignored);
}

WideSocketBuffers::WideSocketBuffers(boost::asio::ip::tcp::socket &socket, MemoryLease &lease)
    : m_socket(socket)
    , m_granted(lease.grow(kMoreKernelBytes))
{
    if (m_granted) {
        setSocketBuffers(m_socket, MemoryPlan::kLargeSocketBufferBytes);
    }
}

WideSocketBuffers::~WideSocketBuffers()
{
    if (m_granted) {
        setSocketBuffers(m_socket, MemoryPlan::kSocketBufferBytes);
    }
}

} // namespace fulmarlink
