/// @file
/// Answers of a runner that took far longer than what is known of it explains.
#pragma once

#include <cstdint>
#include <vector>

#include "base/decaying_count.h"
#include "base/time.h"

namespace stoathold {

/// Answers of one runner lately.
struct SlowCounts {
  double slow = 0;   ///< Beyond explanation.
  double usual = 0;  ///< All others.

  SlowCounts& operator+=(const SlowCounts& other) {
    slow += other.slow;
    usual += other.usual;
    return *this;
  }
};

/// Whether an answer's time is beyond explanation.
/// @param expected of it at this runner, with its load, at the slowest moment of its machine.
bool is_beyond_explanation(Duration time, Duration expected);

/// A runner may be slow in a way that neither its reported slowness nor its load nor its learned
/// speed explains: its machine is ill, or its figures are false. Several such answers are evidence
/// against it like errors are. They count against what the other runners do at the same time: if
/// all turn slow, the cause is not this one. Used on one thread.
class SlowAnswers {
 public:
  SlowAnswers();

  /// An answer of this node came.
  void count(bool slow, TimePoint now);
  /// Another node's counts; of several nodes the greatest stands.
  void take_report(const SlowCounts& counts, TimePoint now);
  /// Returns the own counts, to report them to others.
  [[nodiscard]] SlowCounts own(TimePoint now) const;
  /// Whether so many were slow lately that the runner is to be judged: of most runners none was.
  [[nodiscard]] bool is_suspect(TimePoint now) const;
  /// Returns the own counts and those of another node.
  [[nodiscard]] SlowCounts all(TimePoint now) const;

 private:
  DecayingCount own_slow_;
  DecayingCount own_usual_;
  DecayingCount reported_slow_;
  DecayingCount reported_usual_;
};

/// What follows for one runner.
enum class SlowVerdict : std::uint8_t {
  kNone,
  kOnTrial,  ///< It was avoided a moment ago: one request at a time is tried there.
  kAvoided,  ///< Gets no new online work.
};

/// Judges the runners of a service, one against the others.
/// @param counts of each runner.
/// @return the verdicts in the same order. At most a quarter of the runners is avoided or on trial:
///         of more, none is.
std::vector<SlowVerdict> judge_slow(const std::vector<SlowCounts>& counts);

}  // namespace stoathold
