#include "fulmarlink/leasedtext.h"

#include <algorithm>

#include "fulmarlink/memorylease.h"

namespace fulmarlink
{

bool reserveLeased(std::string &text, std::size_t size, std::size_t maxSize, MemoryLease &lease)
{
    if (size <= text.capacity()) {
        return !lease.evicted();
    }
    const std::size_t capacity = std::max(size, std::min(maxSize, text.size() + text.size() / 2));
    if (!lease.grow(capacity - text.capacity())) {
        return false;
    }
    std::string larger; // reserve() of a string that is not empty may take more than it was asked for
    larger.reserve(capacity);
    larger.append(text);
    text.swap(larger);
    return true;
}

} // namespace fulmarlink
