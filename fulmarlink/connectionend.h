#pragma once

#include <boost/system/error_code.hpp>
#include <cstdint>

namespace fulmarlink
{

/** How the connection of an attempt ended before its answer was complete. */
enum class ConnectionEnd : std::uint8_t {
    Open, ///< it has not; or this host closed it
    InOrder, ///< the runner closed it, and had read all of the request
    Reset, ///< by the runner or the network
    Failed, ///< it broke in another way
};

/** From the error of a read or write. @p answerBegun: some of the answer has arrived, so a reset does not mean that the request was not read. */
ConnectionEnd connectionEnd(const boost::system::error_code &error, bool answerBegun);

} // namespace fulmarlink
