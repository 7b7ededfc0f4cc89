/// @file
/// How one attempt at a runner ended, for online requests and batch items alike.
#pragma once

#include <cstdint>
#include <string_view>

#include "routing/runner_registry.h"

namespace stoathold {

/// How an attempt ended for the request. Only items of batch jobs end with `kImpossible` or
/// `kYielded`.
enum class AttemptResult : std::uint8_t {
  kCompleted,      ///< The answer came whole.
  kFailed,         ///< The runner's own error; another may do better.
  kErrorPassedOn,  ///< The runner's own error, which the caller got whole.
  kImpossible,     ///< No runner can ever do it.
  kNotRun,         ///< This runner did not run it; another may.
  kUnreachable,    ///< Nothing reached the runner; another may.
  kBroken,         ///< It may have run; what came so far counts.
  kYielded,        ///< Gave its place back.
  kStopped,        ///< The caller left, the time is up, or the job was stopped.
};

/// Returns the result's name for logs and metrics.
std::string_view to_string(AttemptResult result);

/// What the result says about the runner.
AttemptOutcome evidence_of(AttemptResult result);

}  // namespace stoathold
