/// @file
/// Error rate of a runner, from the responses that all nodes of the zone have received from it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/decaying_count.h"
#include "base/time.h"

namespace stoathold {

/// Recent responses of a runner to one node.
struct ResponseCounts {
  double errors = 0;  ///< Errors of the runner itself.
  double served = 0;  ///< Complete responses.
};

/// Detects runners that fail their requests although they report to be healthy. Such a runner looks
/// idle because it fails at once, and would attract ever more work. Each node sees few of its
/// responses, so nodes exchange their counts. A batch item that fails at every runner causes few
/// errors among many responses and does not raise a runner's error rate above the limit. Used on
/// one thread.
class RunnerErrors {
 public:
  /// Counts a response.
  void count(bool error, TimePoint now);
  /// Replaces the counts of another node by a new report.
  void apply_report(std::uint64_t node, const ResponseCounts& counts, TimePoint now);
  /// Returns this node's counts if they include errors worth reporting to other nodes.
  [[nodiscard]] std::optional<ResponseCounts> own_report(TimePoint now) const;
  /// Returns whether the runner fails so many of its requests that it should be ejected.
  [[nodiscard]] bool has_high_error_rate(TimePoint now) const;

 private:
  struct Counts {
    Counts();
    DecayingCount errors;
    DecayingCount served;
  };
  Counts own_;
  std::map<std::uint64_t, Counts> reported_;  ///< By node.
};

}  // namespace stoathold
