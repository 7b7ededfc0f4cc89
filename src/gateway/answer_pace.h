/// @file
/// How long the answers of a route take: the time from one event to the next, and the events that
/// an answer of so many tokens makes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/quantities.h"
#include "base/time.h"
#include "routing/latency_quantile.h"
#include "routing/route_pace.h"

namespace stoathold {

/// Learned from what passes through this node, by route, since requests of one route are alike. A
/// node that has seen none of a route takes what others report. Used on one thread.
class AnswerPace {
 public:
  /// Some events of an answer have passed.
  /// @param gap mean time from one to the next.
  void observe_gap(const std::string& route, Duration gap);
  /// A whole answer has passed.
  /// @param allowed most tokens that it might have had.
  void observe_answer(const std::string& route, TokenCount allowed, EventCount made);
  /// Returns the time that the rest of an answer is expected to take; 0 if the pace is unknown.
  /// @param allowed most tokens of the whole answer.
  /// @param made events that it has already.
  [[nodiscard]] Duration expected_rest(const std::string& route, TokenCount allowed,
                                       EventCount made) const;

  /// Returns what this node has learned itself, to report it to other nodes.
  [[nodiscard]] std::vector<RoutePace> learned() const;
  /// Takes what another node has learned; what was learned here counts more.
  void take(const RoutePace& reported);

 private:
  struct Pace {
    LatencyQuantile gap;
    TokensPerEvent tokens_per_event;
    bool own = false;  ///< A whole answer has passed here.
    Duration reported_gap{0};
  };
  Pace& pace_of(std::uint64_t route);

  std::map<std::uint64_t, Pace> paces_;  ///< By hash of the route's name.
};

}  // namespace stoathold
