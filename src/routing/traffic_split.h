/// @file
/// Distributes a route's requests over its services by weight.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/configuration.h"

namespace stoathold {

/// Smooth weighted round robin per route: over any sequence of requests, each service's share
/// matches its weight to within one request. Restarts when a route's weights change. Not thread
/// safe.
class TrafficSplit {
 public:
  /// Returns the service for the route's next request. The route must have at least one service.
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
