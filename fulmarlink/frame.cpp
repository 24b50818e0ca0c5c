#include "fulmarlink/frame.h"

#include <utility>

#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace
{

constexpr std::size_t kInitialBuilderBytes = 256;
constexpr unsigned kBitsPerByte = 8;
constexpr flatbuffers::uoffset_t kMaxTables = 4096;
constexpr flatbuffers::uoffset_t kMaxDepth = 16;

template<std::size_t I>
bool unpackIf(const wire::Message &table, Message &message)
{
    using Native = std::variant_alternative_t<I, Message>;
    using Table = typename Native::TableType;
    if (table.body_type() != wire::BodyTraits<Table>::enum_value) {
        return false;
    }
    Native native;
    static_cast<const Table *>(table.body())->UnPackTo(&native);
    message = std::move(native);
    return true;
}

template<std::size_t... I>
bool unpackAny(const wire::Message &table, Message &message, std::index_sequence<I...>)
{
    return (unpackIf<I>(table, message) || ...);
}

} // namespace

std::vector<std::uint8_t> encodeFrame(const Message &message)
{
    flatbuffers::FlatBufferBuilder builder(kInitialBuilderBytes);
    std::visit(
        [&](const auto &native) {
            using Table = typename std::decay_t<decltype(native)>::TableType;
            const auto body = Table::Pack(builder, &native);
            builder.Finish(wire::CreateMessage(builder, wire::BodyTraits<Table>::enum_value, body.Union()));
        },
        message);
    const std::size_t size = builder.GetSize();
    std::vector<std::uint8_t> frame(kFrameHeaderBytes + size);
    for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
        frame[i] = static_cast<std::uint8_t>(size >> (kBitsPerByte * i));
    }
    std::copy_n(builder.GetBufferPointer(), size, frame.begin() + kFrameHeaderBytes);
    return frame;
}

std::error_code decodeFrameLength(std::span<const std::uint8_t, kFrameHeaderBytes> header, std::size_t &length)
{
    length = 0;
    for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
        length |= static_cast<std::size_t>(header[i]) << (kBitsPerByte * i);
    }
    if (length == 0) {
        return ResultCode::FrameInvalid;
    }
    return length > kMaxFrameBytes ? make_error_code(ResultCode::FrameTooLarge) : std::error_code();
}

std::error_code decodeFrameBody(std::span<const std::uint8_t> bytes, Message &message)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), kMaxDepth, kMaxTables);
    if (!wire::VerifyMessageBuffer(verifier)) {
        return ResultCode::FrameInvalid;
    }
    const wire::Message *table = wire::GetMessage(bytes.data());
    if (table->body() == nullptr || !unpackAny(*table, message, std::make_index_sequence<std::variant_size_v<Message>>())) {
        return ResultCode::FrameInvalid;
    }
    return {};
}

} // namespace fulmarlink
