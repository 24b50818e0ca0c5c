#include "testing/harness/processwatch.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

namespace fulmarlink::testing
{

namespace
{

constexpr std::size_t kKilobyte = 1024;
constexpr int kHex = 16;
constexpr const char *kListening = "0A"; ///< state of a socket in /proc/net/tcp

/** One line of /proc/net/tcp. */
struct TcpSocket {
    std::uint16_t port = 0; ///< local
    bool listening = false;
    std::size_t sendQueue = 0;
    std::size_t receiveQueue = 0; ///< of a listening socket: connections that wait to be accepted
    std::string inode;
};

TcpSocket parseSocket(const std::string &line)
{
    std::istringstream fields(line);
    std::string ignored;
    std::string local;
    std::string state;
    std::string queues;
    TcpSocket socket;
    fields >> ignored >> local >> ignored >> state >> queues >> ignored >> ignored >> ignored >> ignored >> socket.inode;
    socket.port = static_cast<std::uint16_t>(std::stoul(local.substr(local.find(':') + 1), nullptr, kHex));
    socket.listening = state == kListening;
    socket.sendQueue = std::stoul(queues.substr(0, queues.find(':')), nullptr, kHex);
    socket.receiveQueue = std::stoul(queues.substr(queues.find(':') + 1), nullptr, kHex);
    return socket;
}

KernelQueues sumQueues(const std::function<bool(const TcpSocket &)> &isCounted)
{
    KernelQueues sum;
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line); // the names of the columns
    while (std::getline(file, line)) {
        const TcpSocket socket = parseSocket(line);
        if (!isCounted(socket)) {
            continue;
        }
        if (socket.listening) {
            sum.unaccepted += socket.receiveQueue;
            continue;
        }
        sum.unread += socket.receiveQueue;
        sum.untaken += socket.sendQueue;
    }
    return sum;
}

} // namespace

void ProcessWatch::setPid(long pid)
{
    m_folder = "/proc/" + std::to_string(pid);
    m_pid = pid;
}

bool ProcessWatch::alive() const
{
    return kill(static_cast<pid_t>(m_pid), 0) == 0 && peakMemory() > 0; // a process that has ended and is not yet waited for has no memory
}

std::size_t ProcessWatch::peakMemory() const
{
    std::ifstream file(m_folder + "/status");
    std::size_t kilobytes = 0;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:")) {
            kilobytes = std::stoul(line.substr(line.find(':') + 1));
        }
    }
    return kilobytes * kKilobyte;
}

std::size_t ProcessWatch::openFiles() const
{
    std::error_code error; // the process may have ended
    const std::filesystem::directory_iterator files(m_folder + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

KernelQueues ProcessWatch::queuesAt(std::uint16_t port)
{
    return sumQueues([port](const TcpSocket &socket) {
        return socket.port == port;
    });
}

KernelQueues ProcessWatch::queues() const
{
    std::set<std::string> inodes;
    std::error_code error; // the process may have ended, and descriptors are closed meanwhile
    for (const auto &file : std::filesystem::directory_iterator(m_folder + "/fd", error)) {
        const std::string target = std::filesystem::read_symlink(file, error).string();
        if (target.starts_with("socket:[")) {
            inodes.insert(target.substr(target.find('[') + 1, target.size() - target.find('[') - 2));
        }
    }
    return sumQueues([&inodes](const TcpSocket &socket) {
        return inodes.contains(socket.inode);
    });
}

} // namespace fulmarlink::testing
