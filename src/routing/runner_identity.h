/// @file
/// Identifies one incarnation of a runner, which may restart under the same id.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace stoathold {

/// When a runner's process started, as the runner reports it: Unix milliseconds of its own clock.
/// That clock may be wrong or step back, so start times are compared only for equality.
enum class RunnerStartTime : std::uint64_t {};

/// Identifies one incarnation of a runner. Knowledge about a runner applies to one incarnation
/// only: after a restart the runner holds no requests and no cached state.
struct RunnerIdentity {
  std::string id;
  std::optional<RunnerStartTime> start;  ///< Empty if the runner does not report it.

  /// Returns the hash that identifies this incarnation among the nodes.
  [[nodiscard]] std::uint64_t hash() const;
  bool operator==(const RunnerIdentity&) const = default;
};

}  // namespace stoathold
