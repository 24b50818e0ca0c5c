#pragma once

#include <memory>
#include <span>

#include "fulmarlink/configuration.h"

namespace fulmarlink
{

class RuleSet;

/**
 * Ordered rules for an operator's routes: a host's longest path prefix first, so that
 * the first match is the longest. Each rule matches on host and path prefix and sets
 * everything that the route says.
 *
 * Built without going through text, since a change of 600 routes must not hold up
 * requests: yaml-cpp would need some 100 ms of a whole core for them.
 */
std::shared_ptr<const RuleSet> rulesFromRoutes(std::span<const RouteSpec> routes);

} // namespace fulmarlink
