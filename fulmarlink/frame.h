#pragma once

#include <cstdint>
#include <span>
#include <system_error>
#include <vector>

#include "fulmarlink/message.h"

namespace fulmarlink
{

/**
 * Frames on the links between fulmarlink's own processes: four bytes of length,
 * least significant first, then one FlatBuffers Message.
 *
 * Compatibility: fields are only appended, so processes of one major version
 * understand each other; the minor version tells which fields a peer fills in. A
 * peer with another major version is refused with ProtocolMajorDiffers.
 */
inline constexpr std::uint16_t kProtocolMajor = 1;
inline constexpr std::uint16_t kProtocolMinor = 0;
inline constexpr std::size_t kFrameHeaderBytes = 4;
inline constexpr std::size_t kMaxFrameBytes = 4U << 20;

/** The whole frame, its length included. */
std::vector<std::uint8_t> encodeFrame(const Message &message);

/** The length that a frame's header announces; an error if it is zero or above kMaxFrameBytes. */
std::error_code decodeFrameLength(std::span<const std::uint8_t, kFrameHeaderBytes> header, std::size_t &length);

/** Verifies and unpacks the bytes behind the header. Never reads outside of @p bytes. */
std::error_code decodeFrameBody(std::span<const std::uint8_t> bytes, Message &message);

} // namespace fulmarlink
