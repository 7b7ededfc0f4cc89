/// @file
/// What other nodes of the zone report about failed attempts at one runner.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace stoathold {

/// A node's report that its attempts at a runner failed, and until when it sends nothing there.
struct PeerEjection {
  std::uint64_t reporter = 0;  ///< The reporting node, as in its digests.
  TimePoint failed_at{};       ///< Its last failed attempt.
  TimePoint until{};           ///< It sends nothing before.
  std::uint32_t failures = 0;  ///< Failed attempts in a row.
  bool by_errors = false;      ///< The runner answered, with errors of its own.
};

/// The reports about one runner, the newest of each reporter.
///
/// A single report of silence proves nothing: its sender may be cut off itself. And it is refuted
/// by anything that any node has heard from the runner since. A report of errors was made by the
/// runner's own answers: one is enough, and only a served request refutes it. So a runner is
/// ejected only while enough reports stand that nothing has refuted. Used on one thread.
class PeerEjections {
 public:
  /// Takes a report; an older one of the same reporter is replaced.
  void take(const PeerEjection& ejection, TimePoint now);
  /// Returns until when the runner is to be left alone; the start of the clock if it is not.
  /// @param last_heard when anything was last heard from the runner, by this node or by others.
  /// @param last_served when it last served a request of this node.
  /// @param own_failure whether this node's own last attempt there failed, which counts as one
  ///        report.
  [[nodiscard]] TimePoint ejected_until(TimePoint last_heard, TimePoint last_served,
                                        bool own_failure) const;
  /// Returns the largest number of failures in a row that a report states and nothing has
  /// refuted; 0 if there is none.
  [[nodiscard]] std::uint32_t failures(TimePoint last_heard, TimePoint last_served) const;

 private:
  std::vector<PeerEjection> reports_;
};

}  // namespace stoathold
