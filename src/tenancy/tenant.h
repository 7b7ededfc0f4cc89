/// @file
/// Tenants: who the callers are, with what they prove it, and how much each may ask.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace stoathold {

/// How many requests a tenant may have admitted, over all nodes together.
struct RateLimit {
  double per_second = 0;  ///< Requests; 0: no limit.
  double burst = 0;       ///< Requests on top at any moment.

  [[nodiscard]] bool unlimited() const { return per_second <= 0; }
  bool operator==(const RateLimit&) const = default;
};

/// A tenant as one version of the configuration shows it.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;          ///< Secrets; never written to a log, metric or error.
  std::optional<std::uint32_t> priority;  ///< Goes before that of a route; 0 is the most urgent.
  RateLimit limit;
};

}  // namespace stoathold
