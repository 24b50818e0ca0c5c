#include "fulmarlink/crashkeys.h"

#include <algorithm>

namespace fulmarlink
{

bool CrashKeys::contains(const RequestFingerprint &key) const
{
    return key == request || std::ranges::find(segments, key) != segments.end();
}

CrashKeys crashKeysOf(const RequestFingerprint &request, std::span<const std::string> segmentIds)
{
    CrashKeys result{request, {}};
    for (const std::string &id : segmentIds) {
        result.segments.push_back(segmentFingerprint(request.customer, id));
        result.segments.push_back(segmentFingerprint(kAllCustomers, id));
    }
    return result;
}

} // namespace fulmarlink
