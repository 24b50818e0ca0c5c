#pragma once

#include <span>
#include <string>
#include <vector>

#include "fulmarlink/requestfingerprint.h"

namespace fulmarlink
{

/**
 * What a request may be suspected for when runners end under it: the request itself, and the segments of its prompt that other
 * requests may share.
 */
struct CrashKeys {
    RequestFingerprint request;
    std::vector<RequestFingerprint> segments; ///< of each shared segment two: for the request's customer and for all customers

    bool contains(const RequestFingerprint &key) const;
};

CrashKeys crashKeysOf(const RequestFingerprint &request, std::span<const std::string> segmentIds);

} // namespace fulmarlink
