/// @file
/// Estimates for how long the requests of a route hold a slot, as observed at this node.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace stoathold {

/// Mean slot time by route, because requests of one route take similar time. Used on one thread.
class SlotTimeEstimator {
 public:
  void observe(const std::string& route, Duration held);
  /// Returns the mean of a route; 0 if unknown.
  [[nodiscard]] Duration expected(const std::string& route) const;

 private:
  std::map<std::string, Duration> means_;
};

}  // namespace stoathold
