#pragma once

#include <string>

#include "fulmarlink/httpclient.h"

namespace fulmarlink
{

/** Reads ADDRESS:PORT with an IP number; false if it is not that. */
bool parseTarget(const std::string &text, HttpTarget &target);

} // namespace fulmarlink
