/// @file
/// Results of attempts at runners, for online requests and batch items.
#pragma once

#include <cstdint>
#include <string_view>

#include "routing/runner_registry.h"

namespace stoathold {

/// Result of an attempt for the request. `kTooLong`, `kUnconfirmedEnd` and `kYielded` occur only
/// for items of batch jobs.
enum class AttemptResult : std::uint8_t {
  kCompleted,       ///< The complete response was received.
  kFailed,          ///< Error of the runner; another runner may succeed.
  kErrorRelayed,    ///< Error of the runner, relayed completely to the caller.
  kImpossible,      ///< No runner can process the request.
  kTooLong,         ///< The response is longer than can be stored, whichever runner sends it.
  kUnconfirmedEnd,  ///< The response ended with its connection, and may be incomplete.
  kNotRun,          ///< The runner reported that it did not run the request; another may.
  kUnreachable,     ///< Nothing reached the runner; another may be reachable.
  kBroken,  ///< The connection broke and the request may have run; events received so far are kept.
  kYielded,  ///< Preempted: released its slot.
  kStopped,  ///< The caller disconnected, the deadline passed or the job was stopped.
};

/// Returns the result's name for logs and metrics.
std::string_view to_string(AttemptResult result);

/// Returns whether a runner may have run the request in an attempt with this result.
[[nodiscard]] bool may_have_run(AttemptResult result);

/// Returns the outcome to record for the runner.
AttemptOutcome runner_outcome(AttemptResult result);

}  // namespace stoathold
