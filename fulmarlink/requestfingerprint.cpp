#include "fulmarlink/requestfingerprint.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace fulmarlink
{

namespace
{

constexpr std::size_t kDigits = 16; ///< hexadecimal digits of each part
constexpr int kHexBase = 16;
constexpr XXH64_hash_t kSegmentSeed = 1; ///< requests are hashed with 0

struct StateDeleter {
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

/** Hashes the length before the text, so that different lists of texts never give the same input bytes. */
void update(XXH3_state_t *state, std::string_view text)
{
    const std::uint64_t size = text.size();
    XXH3_128bits_update(state, &size, sizeof size);
    XXH3_128bits_update(state, text.data(), text.size());
}

std::optional<std::uint64_t> parsePart(std::string_view digits)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, kHexBase);
    return error == std::errc() && end == digits.data() + digits.size() ? std::optional(value) : std::nullopt;
}

} // namespace

RequestFingerprint fingerprintOf(const RequestIdentity &identity)
{
    const std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    for (const std::string_view text : {identity.method, identity.host, identity.target, identity.body}) {
        update(state.get(), text);
    }
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return {XXH3_64bits(identity.customer.data(), identity.customer.size()), hash.high64, hash.low64};
}

RequestFingerprint segmentFingerprint(std::uint64_t customer, std::string_view id)
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(id.data(), id.size(), kSegmentSeed);
    return {customer, hash.high64, hash.low64};
}

std::string RequestFingerprint::text() const
{
    std::array<char, 3 * kDigits + 1> digits{};
    std::snprintf(digits.data(),
                  digits.size(),
                  "%016llx%016llx%016llx",
                  static_cast<unsigned long long>(customer),
                  static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return digits.data();
}

std::optional<RequestFingerprint> RequestFingerprint::parse(std::string_view text)
{
    if (text.size() != 3 * kDigits || text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return std::nullopt;
    }
    const auto customer = parsePart(text.substr(0, kDigits));
    const auto high = parsePart(text.substr(kDigits, kDigits));
    const auto low = parsePart(text.substr(2 * kDigits));
    if (!customer || !high || !low) {
        return std::nullopt;
    }
    return RequestFingerprint{*customer, *high, *low};
}

} // namespace fulmarlink
