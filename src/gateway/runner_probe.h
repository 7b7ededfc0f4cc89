/// @file
/// Evidence that a runner is running when it gets a request, for online requests and batch items.
#pragma once

#include <optional>

#include "gateway/attempt_result.h"
#include "gateway/gateway_context.h"
#include "quarantine/quarantine_check.h"

namespace stoathold {

/// Returns the probe to send before a request that may only be sent to a runner that has just
/// responded; nothing if the runner's service has no health path.
std::optional<UpstreamProbe> make_runner_probe(const GatewayContext& context, const Runner& runner,
                                               std::string_view host);

/// Returns the result of an attempt whose request was not sent: a runner that answered the probe is
/// reachable.
AttemptResult unsent_result(Runner& runner, const UpstreamExchange& upstream);

/// A run at a runner that has ended.
struct EndedRun {
  const UpstreamExchange& upstream;
  RunStage stage = RunStage::kWaiting;
  bool progressed = false;        ///< `FinishedRun::progressed`.
  bool delivered_events = false;  ///< `FinishedRun::delivered_events`.
  bool broken = false;            ///< The connection broke.
  /// The request required a live runner, but the runner could not be probed.
  bool probe_unavailable = false;
};

/// Returns what the run shows about its runner and its request.
FinishedRun make_finished_run(const Runner& runner, const EndedRun& run);

}  // namespace stoathold
