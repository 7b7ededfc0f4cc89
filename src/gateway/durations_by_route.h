/// @file
/// Usual duration of an operation by route, as observed by this node.
#pragma once

#include <map>
#include <string>

#include "routing/latency_quantile.h"

namespace stoathold {

/// Estimates durations by route, since requests of one route are similar in size and requests of
/// different routes need not be. Not thread-safe.
class DurationsByRoute {
 public:
  void observe(const std::string& route, Duration time) {
    times_.try_emplace(route, kQuantile).first->second.observe(time);
  }
  /// Returns the time that most requests of a route do not exceed; 0 if unknown.
  [[nodiscard]] Duration expected(const std::string& route) const {
    const auto found = times_.find(route);
    return found == times_.end() ? Duration{0} : found->second.value();
  }

 private:
  /// A higher quantile starts fewer requests that then miss their deadline; a lower one rejects
  /// fewer requests that would have met it.
  static constexpr double kQuantile = 0.7;

  std::map<std::string, LatencyQuantile> times_;
};

}  // namespace stoathold
