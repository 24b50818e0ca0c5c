#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmarlink::testing
{

inline constexpr std::size_t kKilobyte = 1024;
inline constexpr std::size_t kMegabyte = 1024 * kKilobyte;
inline constexpr std::size_t kCrowdMaxBody = kMegabyte; ///< configured limit of a request's body

/** The bytes that one client sends: @p begin, then @p block @p repeats times, then @p end. Its connection then stays open. */
struct Script {
    std::string begin;
    std::string block;
    std::size_t repeats = 0;
    std::string end;
    bool awaitsAnswer = false; ///< the client has finished when an answer has begun to arrive, of which it reads nothing
};

/** A crowd, and the port that it is sent to. */
struct Crowd {
    enum class Port : std::uint8_t {
        Callers,
        Readiness,
        Metrics,
    };

    Port port = Port::Callers;
    std::size_t clients = 200;
    Script script{};
    std::vector<Script> others{}; ///< alternating with @p script
    std::size_t maxOpenFiles = 512; ///< of the gateway; half of them for callers
    bool fillsKernel = false; ///< the gateway reads nothing after the beginning of the script, so that the rest fills the kernel's buffers
};

/** The crowd of the named case; without clients if there is no such case. */
Crowd crowdOf(const std::string &name);

} // namespace fulmarlink::testing
