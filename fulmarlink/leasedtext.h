#pragma once

#include <cstddef>
#include <string>

namespace fulmarlink
{

class MemoryLease;

/**
 * Makes room in @p text for @p size bytes in total, and takes the memory from @p lease. The capacity grows by half at least, so that the
 * bytes are copied a bounded number of times, but not above @p maxSize unless @p size is. Returns false, and changes nothing, if
 * the lease grants no more.
 */
bool reserveLeased(std::string &text, std::size_t size, std::size_t maxSize, MemoryLease &lease);

} // namespace fulmarlink
