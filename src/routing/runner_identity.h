/// @file
/// Which start of a runner is meant: a runner may start again under the id that it had.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace stoathold {

/// When a runner started, as it tells: Unix milliseconds of its own clock. That clock may be wrong
/// or step back, so two starts are only ever compared for equality.
enum class RunnerStart : std::uint64_t {};

/// One start of a runner. Whatever is believed of a runner is believed of one start: the next one
/// holds and knows nothing of it.
struct RunnerIdentity {
  std::string id;
  std::optional<RunnerStart> start;  ///< Nothing if the runner doesn't tell it.

  /// Returns what stands for this start among the nodes.
  [[nodiscard]] std::uint64_t hash() const;
  bool operator==(const RunnerIdentity&) const = default;
};

}  // namespace stoathold
