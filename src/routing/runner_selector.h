/// @file
/// Selects the runner of an attempt by availability, health, zone, prefix affinity and load.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/batch_arbiter.h"
#include "routing/runner_registry.h"
#include "routing/runner_speed.h"

namespace stoathold {

/// Latency objectives that a response has to meet.
struct LatencyObjectives {
  std::uint64_t route = 0;          ///< Hash of the route's name.
  TimePoint first_event_due{};      ///< Online: latest on-time first event.
  Duration event_gap_objective{0};  ///< Longest on-time gap between events; 0: none.
};

/// The inputs of a selection.
struct SelectionRequest {
  std::string service;
  std::string zone;                 ///< Zone of this node, whose runners are preferred.
  std::uint64_t affinity_key = 0;   ///< Hash of the shared prompt prefix; 0: none.
  std::uint32_t prompt_tokens = 0;  ///< Of the whole prompt.
  std::uint32_t shared_prefix_tokens =
      0;                                ///< Of its shared prefix, which a warm runner has cached.
  double load_limit = 0;                ///< Runners at or above this load are skipped; 0: no limit.
  std::vector<std::uint64_t> excluded;  ///< `Runner::hash` of the runners tried before.
  /// Only runners of this software version; empty: any.
  std::optional<SoftwareVersion> software_version;
  /// Use runners of other zones only with borrowed slots.
  bool borrowed_only = false;
  /// Consider only full runners at which a batch item can be preempted.
  bool preempt_batch = false;
  /// Returns whether the request may reuse a connection to a runner. Among equally good runners
  /// such a one is preferred: a new connection costs a round trip, occupies one of the runner's
  /// slots for a moment, and counts against the few connections that a runner allows. Null: no
  /// connections to reuse.
  std::function<bool(const Runner&)> has_reusable_connection;
  /// Latency predictions. Null: runners are selected by load alone.
  const SpeedModel* speeds = nullptr;
  WorkClass work = WorkClass::kOnline;   ///< Used only if `speeds` is set.
  LatencyObjectives latency_objectives;  ///< Used only if `speeds` is set.
  /// Batch: decides which node may use which runner. Null: this node may use all runners.
  BatchArbiter* batch_arbiter = nullptr;
  ItemUrgency urgency = ItemUrgency::kInTime;  ///< Used only with `batch_arbiter`.
  bool prefer_reusable_connections =
      false;               ///< Prefer a reusable connection to a slightly lower load.
  std::uint64_t node = 0;  ///< This node; determines which few runners it prefers.
};

/// Why no runner was selected.
enum class SelectionFailure : std::uint8_t {
  kNone,
  kUnknownService,
  kAllExcluded,  ///< Every runner was tried before, is shutting down or is ejected.
  kAllBusy,      ///< Every runner is above the load limit.
};

/// The selected runner and the inputs of the decision.
struct Selection {
  std::shared_ptr<Runner> runner;  ///< Null if none was found.
  SelectionFailure failure = SelectionFailure::kNone;
  std::uint32_t uncached_prompt_tokens =
      0;                             ///< Prompt tokens that the runner is expected to process.
  std::uint32_t candidates = 0;      ///< Number of runners to choose from.
  double load = 0;                   ///< Load of the runner before this request.
  std::uint32_t backlog_tokens = 0;  ///< Unprocessed prompt tokens there before this request.
  bool warm = false;                 ///< The runner is the one that caches the prompt's prefix.
  std::optional<ExpectedTimes> expected;  ///< Predicted latency, if predictions were available.

  /// Returns the load-dependent inputs of the latency prediction.
  [[nodiscard]] RunnerWork runner_work() const {
    return {.pending_prompt_tokens = static_cast<double>(backlog_tokens + uncached_prompt_tokens),
            .load = load};
  }
};

/// Selects a runner. Its only side effects are random tie breaking and updates of `batch_arbiter`.
Selection select_runner(const RunnerRegistry& registry, const SelectionRequest& request,
                        TimePoint now);

}  // namespace stoathold
