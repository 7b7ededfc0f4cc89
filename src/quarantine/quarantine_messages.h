/// @file
/// Messages about runner exits and quarantined requests, and the log record of a quarantine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace stoathold {

/// Reports that a runner exited while it had a request, or that the request made progress.
struct RunnerExitReport {
  std::uint64_t content = 0;  ///< Hash of the request's content.
  /// Hash of the id of the runner that exited; 0 if the request made progress.
  std::uint64_t runner = 0;
  bool begun = false;  ///< The response had started.
  /// The runner was running when it got the request. Otherwise the exit is not held against the
  /// request, whose next runs need a runner that has just responded.
  bool proven = true;
  std::uint16_t ms_ago = 0;    ///< Age of the event; saturates.
  std::uint32_t restarts = 0;  ///< `RunnerStart::restarts`.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(content, runner, begun, proven, ms_ago, restarts);
  }
};

/// Reports known to the sender.
struct RunnerExitReports {
  std::vector<RunnerExitReport> reports;
  bool forward = false;  ///< The receiver forwards them within its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(reports, forward);
  }
};

/// What the sender knows about the quarantine of one request. Nodes send it to each other, because
/// the log may be unavailable. Receivers trust it as they trust a record of the log: only nodes of
/// the fleet write either.
struct QuarantineNotice {
  std::uint64_t content = 0;  ///< Hash of the request's content.
  /// Position in the log behind the newest lift of this request that the sender knows; 0: none. A
  /// quarantine that began without knowledge of a lift is ended by it.
  std::uint64_t lifted_position = 0;
  bool quarantined = false;
  /// Age of the quarantine or, if there is none, of the lift.
  std::uint32_t age_ms = 0;
  std::uint32_t exits = 0;  ///< Number of runner starts that had exited with the request.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(content, lifted_position, quarantined, age_ms, exits);
  }
};

/// Notices known to the sender.
struct QuarantineNotices {
  std::vector<QuarantineNotice> notices;
  bool forward = false;  ///< The receiver forwards those that are new to it within its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(notices, forward);
  }
};

/// Log record of a quarantined request, keyed by the hash of its content.
struct QuarantineRecord {
  /// Wall clock time of the quarantine at the node that wrote the record.
  std::int64_t since_ms = 0;
  std::uint32_t exits = 0;  ///< Number of runners that had exited with the request.
  /// Number of trials that were claimed since then, whatever became of them.
  std::uint32_t trials = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(since_ms, exits, trials);
  }
};

/// Log record of a quarantined request in the format without trials.
struct QuarantineRecordWithoutTrials {
  std::int64_t since_ms = 0;
  std::uint32_t exits = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(since_ms, exits);
  }
};

}  // namespace stoathold
