#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace fulmarlink::testing
{

/** What the kernel holds at a moment for the sockets of a process, in bytes. */
struct KernelQueues {
    std::size_t unread = 0; ///< received, and not read by the process
    std::size_t untaken = 0; ///< written by the process, and not taken by the other side
    std::size_t unaccepted = 0; ///< number of connections that the process has not accepted yet
};

/** What the system tells about another process. */
class ProcessWatch
{
public:
    void setPid(long pid);

    bool alive() const;
    /** The largest resident memory so far, in bytes; 0 if the process has ended. */
    std::size_t peakMemory() const;
    std::size_t openFiles() const;
    /** Of the connections accepted at @p port. */
    static KernelQueues queuesAt(std::uint16_t port);
    /** Of all TCP sockets of the process. */
    KernelQueues queues() const;

private:
    std::string m_folder;
    long m_pid = 0;
};

} // namespace fulmarlink::testing
