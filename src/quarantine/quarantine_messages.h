/// @file
/// What nodes report to one another of runners that ended under requests, and what the log keeps.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace stoathold {

/// A runner ended with a request, or the request got on.
struct EndReport {
  std::uint64_t content = 0;  ///< Hash of the request's content.
  std::uint64_t runner = 0;   ///< Hash of the id of the runner that ended; 0: the request got on.
  bool begun = false;         ///< Its answer had begun.
  std::uint16_t ms_ago = 0;   ///< Saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(content, runner, begun, ms_ago);
  }
};

/// Ends that the sender knows.
struct EndReports {
  std::vector<EndReport> reports;
  bool pass_on = false;  ///< The receiver passes it on inside its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(reports, pass_on);
  }
};

/// The log's record of a request that is kept from runners; its key is the content's hash.
struct QuarantineRecord {
  std::int64_t since_ms = 0;  ///< Time of day at the node that put it in quarantine.
  std::uint32_t ends = 0;     ///< Runners that had ended with it.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(since_ms, ends);
  }
};

}  // namespace stoathold
