/// @file
/// Reports of other nodes of the zone about failed attempts at one runner.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace stoathold {

/// A node's report that its attempts at a runner failed and until when it sends no requests there.
struct PeerEjection {
  std::uint64_t reporter = 0;  ///< Identifier of the reporting node, as in its digests.
  TimePoint failed_at{};       ///< Time of its last failed attempt.
  TimePoint until{};           ///< It sends no requests before this time.
  std::uint32_t failures = 0;  ///< Consecutive failed attempts.
  bool by_errors = false;      ///< The runner itself responded with errors.
};

/// The newest report of each reporter about one runner.
///
/// A single report of missing responses is no proof, since its sender may be partitioned itself,
/// and any later response of the runner to any node refutes it. A report of errors is based on
/// responses of the runner itself: one report suffices, and only a served request refutes it. A
/// runner is ejected only while enough reports are valid, that is, not refuted. Not thread-safe.
class PeerEjections {
 public:
  /// Adds a report, which replaces an older one of the same reporter.
  void add_report(const PeerEjection& ejection, TimePoint now);
  /// Returns the end of the runner's ejection; the clock's epoch if it is not ejected.
  /// @param last_response time of the runner's last response to this or any other node.
  /// @param last_served when the runner last served a request of this node.
  /// @param own_failure whether this node's own last attempt there failed, which counts as one
  ///        report.
  [[nodiscard]] TimePoint ejected_until(TimePoint last_response, TimePoint last_served,
                                        bool own_failure) const;
  /// Returns the largest number of consecutive failures in a valid report; 0 if there is none.
  [[nodiscard]] std::uint32_t failures(TimePoint last_response, TimePoint last_served) const;

 private:
  std::vector<PeerEjection> reports_;
};

}  // namespace stoathold
