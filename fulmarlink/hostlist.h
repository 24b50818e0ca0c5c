#pragma once

#include <string_view>
#include <system_error>
#include <vector>

#include "fulmarlink/runner.h"

namespace fulmarlink
{

/** The most hosts that a list may have. */
inline constexpr std::size_t kMaxHosts = 20'000;

/** Reads the platform's host list: a JSON array of hosts. All or nothing. */
std::error_code parseHostList(std::string_view json, std::vector<HostInfo> &hosts);

std::string serializeHostList(const std::vector<HostInfo> &hosts);

} // namespace fulmarlink
