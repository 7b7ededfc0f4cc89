/// @file
/// How long requests of a route hold a slot, as seen by this node.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace stoathold {

/// Means by route, since requests of one route are alike in length. Used on one thread.
class SlotTimes {
 public:
  void observe(const std::string& route, Duration held);
  /// Returns the mean of a route; 0 if nothing is known.
  [[nodiscard]] Duration expected(const std::string& route) const;

 private:
  std::map<std::string, Duration> means_;
};

}  // namespace stoathold
