/// @file
/// Estimates how long the responses of a route take, from the gap between events and the number of
/// tokens per event.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/quantities.h"
#include "base/time.h"
#include "routing/latency_quantile.h"
#include "routing/route_stream_rate.h"

namespace stoathold {

/// Estimates the remaining duration of responses by route, since requests of one route are alike.
/// It learns from the responses that pass through this node and uses the reports of other nodes for
/// routes of which it has seen none. Not thread-safe.
class ResponseDurationEstimator {
 public:
  /// Records the event gap of a part of a response.
  /// @param gap mean time from one event to the next.
  void observe_gap(const std::string& route, Duration gap);
  /// Records a complete response.
  /// @param max_tokens token limit of the response.
  /// @param events number of its events.
  void observe_response(const std::string& route, TokenCount max_tokens, EventCount events);
  /// Returns the expected time for the rest of a response; 0 if the route is unknown.
  /// @param max_tokens token limit of the complete response.
  /// @param events number of events received so far.
  [[nodiscard]] Duration remaining_time(const std::string& route, TokenCount max_tokens,
                                        EventCount events) const;

  /// Returns the estimates that this node has learned itself, for reports to other nodes.
  [[nodiscard]] std::vector<RouteStreamRate> local_estimates() const;
  /// Applies a report of another node; estimates learned here take precedence.
  void apply_report(const RouteStreamRate& report);

 private:
  struct RouteEstimate {
    LatencyQuantile gap;
    TokensPerEvent tokens_per_event;
    bool local = false;  ///< A complete response has passed through this node.
    Duration reported_gap{0};
  };
  RouteEstimate& estimate_for(std::uint64_t route);

  std::map<std::uint64_t, RouteEstimate> estimates_;  ///< By hash of the route's name.
};

}  // namespace stoathold
