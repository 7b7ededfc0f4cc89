/// @file
/// How many of a runner's answers were errors of its own, as all nodes of the zone have seen it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/decaying_count.h"
#include "base/time.h"

namespace stoathold {

/// Answers that one node had from a runner lately.
struct AnswerCounts {
  double errors = 0;  ///< Errors of the runner's own.
  double served = 0;  ///< Whole answers.
};

/// A runner may say that it is well and fail what it is given. Since it fails at once it looks
/// idle, so that ever more work would go to it. Each node sees few of its answers, so nodes report
/// their counts to one another. An item of a batch job that fails everywhere makes few errors among
/// many answers, and no runner suspect. Used on one thread.
class RunnerErrors {
 public:
  /// An answer came.
  void count(bool error, TimePoint now);
  /// Another node's counts, which replace what it reported before.
  void take_report(std::uint64_t node, const AnswerCounts& counts, TimePoint now);
  /// Returns the own counts if they hold an error that others should know of.
  [[nodiscard]] std::optional<AnswerCounts> own_report(TimePoint now) const;
  /// Whether the runner fails so much of what it is given that it should be left alone.
  [[nodiscard]] bool suspect(TimePoint now) const;

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
