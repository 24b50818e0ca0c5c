#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "review/standin-2/rankgroup.h"

namespace review
{

inline const std::string kModelService = "model";
inline const std::string kPortalService = "portal";
inline const std::string kCustomer = "customer-a";
inline const std::string kKey = "key-a";

/** The entry that a runner keeps in the platform's store. */
boost::json::object serverEntry(const std::string &service, std::uint16_t port, unsigned slots, std::uint64_t born);

/** A start time as runners tell it: Unix milliseconds. */
std::uint64_t startTime();

/** A route of a configuration; @p kind as the platform's page names them. */
boost::json::object route(const std::string &name, const std::string &prefix, const std::string &service, const std::string &kind);

/** A model service with a rank group of the sizes in @p options. */
boost::json::object modelService(const RankGroupOptions &options);
boost::json::object plainService(const std::string &name);

boost::json::object configuration(std::uint64_t version, boost::json::array routes, boost::json::array services, boost::json::array tenants);
boost::json::object tenant(const std::string &name, boost::json::array keys);

} // namespace review
