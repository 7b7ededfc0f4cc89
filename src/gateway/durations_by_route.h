/// @file
/// How long something usually takes, by route, as seen by this node.
#pragma once

#include <map>
#include <string>

#include "routing/latency_quantile.h"

namespace stoathold {

/// Kept by route, since requests of one route are alike in size and those of two may not be. Used
/// on one thread.
class DurationsByRoute {
 public:
  void observe(const std::string& route, Duration time) {
    times_.try_emplace(route, kQuantile).first->second.observe(time);
  }
  /// Returns the time that most requests of a route do not exceed; 0 if nothing is known.
  [[nodiscard]] Duration expected(const std::string& route) const {
    const auto found = times_.find(route);
    return found == times_.end() ? Duration{0} : found->second.value();
  }

 private:
  /// Higher: fewer requests are placed in vain; lower: fewer are passed over though in time.
  static constexpr double kQuantile = 0.7;

  std::map<std::string, LatencyQuantile> times_;
};

}  // namespace stoathold
