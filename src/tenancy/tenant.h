/// @file
/// Tenants: the identities, API keys and limits of callers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace stoathold {

/// Limit on a tenant's admitted requests over all nodes together.
struct RateLimit {
  double per_second = 0;  ///< Requests per second; 0 means no limit.
  double burst = 0;       ///< Additional requests that may be admitted at once.

  [[nodiscard]] bool unlimited() const { return per_second <= 0; }
  bool operator==(const RateLimit&) const = default;
};

/// A tenant as defined by one version of the configuration.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;  ///< Secret API keys; never written to a log, metric or error.
  /// Overrides the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
  RateLimit limit;
};

}  // namespace stoathold
