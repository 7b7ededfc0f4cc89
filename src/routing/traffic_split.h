/// @file
/// Divides a route's requests among its services by weight.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/configuration.h"

namespace stoathold {

/// Smooth weighted round robin for each route: over any stretch of requests each service's share
/// is its weight's, within one request. Starts anew when a route's weights change. Not thread safe.
class TrafficSplit {
 public:
  /// Returns the service for the route's next request; the route has at least one service.
  const std::string& next_service(const Route& route);

 private:
  struct Share {
    std::string service;
    std::uint32_t weight = 0;
    std::int64_t credit = 0;
  };

  std::map<std::string, std::vector<Share>> shares_;
};

}  // namespace stoathold
