/// @file
/// Detects runners whose responses take far longer than their latency model predicts.
#pragma once

#include <cstdint>
#include <vector>

#include "base/decaying_count.h"
#include "base/time.h"

namespace stoathold {

/// Recent responses of one runner, weighted by age.
struct OutlierCounts {
  double outliers = 0;  ///< Latency outliers.
  double normal = 0;    ///< All others.

  OutlierCounts& operator+=(const OutlierCounts& other) {
    outliers += other.outliers;
    normal += other.normal;
    return *this;
  }
};

/// Returns whether a response time is an outlier.
/// @param expected predicted time at this runner and load, at the slowest speed of its machine.
bool is_latency_outlier(Duration time, Duration expected);

/// A runner may be slower than its reported slowness, load and learned speed explain, because its
/// machine is faulty or its reports are false. Several such responses are evidence against it, as
/// errors are. They are compared with the responses of the other runners at the same time: if all
/// slow down, the cause is not this runner. Used on one thread.
class LatencyOutliers {
 public:
  LatencyOutliers();

  /// Counts a response received by this node.
  void count(bool outlier, TimePoint now);
  /// Applies another node's counts; of several nodes the largest counts are kept.
  void apply_report(const OutlierCounts& counts, TimePoint now);
  /// Returns this node's counts, to be reported to other nodes.
  [[nodiscard]] OutlierCounts own(TimePoint now) const;
  /// Returns whether there are recent outliers enough to compare this runner with the others; most
  /// runners have none.
  [[nodiscard]] bool is_suspect(TimePoint now) const;
  /// Returns the sum of this node's counts and the reported ones.
  [[nodiscard]] OutlierCounts all(TimePoint now) const;

 private:
  DecayingCount own_outliers_;
  DecayingCount own_normal_;
  DecayingCount reported_outliers_;
  DecayingCount reported_normal_;
};

/// The result of outlier detection for one runner.
enum class OutlierVerdict : std::uint8_t {
  kNone,
  kOnProbation,  ///< Avoided until recently: receives one request at a time.
  kAvoided,      ///< Receives no new online work.
};

/// Compares the runners of a service with one another.
/// @param counts counts of each runner.
/// @return the verdicts in the same order. At most a quarter of the runners is avoided or on
///         probation; if more qualify, none is.
std::vector<OutlierVerdict> detect_outliers(const std::vector<OutlierCounts>& counts);

}  // namespace stoathold
