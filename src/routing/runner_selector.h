/// @file
/// Chooses the runner of an attempt: available and healthy, near, warm for the prompt, not loaded.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/batch_turns.h"
#include "routing/runner_registry.h"
#include "routing/runner_speed.h"

namespace stoathold {

/// When an answer is in time.
struct AnswerNeeds {
  std::uint64_t route = 0;          ///< Hash of its name.
  TimePoint first_event_due{};      ///< Online: the first event is in time until then.
  Duration event_gap_objective{0};  ///< Longest time between events that is in time; 0: none.
};

/// What a choice depends on.
struct SelectionRequest {
  std::string service;
  std::string zone;                 ///< Of this node; its runners are preferred.
  std::uint64_t affinity_key = 0;   ///< Hash of the shared prompt prefix; 0: none.
  std::uint32_t prompt_tokens = 0;  ///< Of the whole prompt.
  std::uint32_t shared_tokens = 0;  ///< Of its shared prefix; a warm runner need not read them.
  double load_limit = 0;            ///< Runners at or above this load are left out; 0: no limit.
  std::vector<std::uint64_t> excluded;  ///< Starts of runners tried before, by `Runner::hash`.
  /// Runners of other zones are taken on borrowed slots only.
  bool borrowed_only = false;
  /// Only runners without a free slot at which a batch item can be made to give one back.
  bool preempt_batch = false;
  /// Whether a connection to a runner is kept that the request may use. Among runners that are as
  /// good, such a one is taken: a new connection costs a round trip, a moment of one of the
  /// runner's places, and one of the few that it allows. Null: none is kept.
  std::function<bool(const Runner&)> connected;
  /// What is known of the times of answers. Null: runners are chosen by load alone.
  const SpeedModel* speeds = nullptr;
  WorkClass work = WorkClass::kOnline;  ///< Counts if `speeds` is given.
  AnswerNeeds needs;                    ///< The same.
  /// Batch: whose turn it is at which runner. Null: every node may take all that it sees.
  BatchTurns* turns = nullptr;
  ItemUrgency urgency = ItemUrgency::kInTime;  ///< Counts if `turns` is given.
  bool keep_connections = false;  ///< A kept connection outweighs a somewhat lesser load.
  std::uint64_t node = 0;         ///< This node, by which it keeps to a few of the runners.
};

/// Why there is no runner.
enum class SelectionFailure : std::uint8_t {
  kNone,
  kUnknownService,  ///< No runner of the service is known.
  kAllExcluded,     ///< Every one was tried, is leaving or is ejected.
  kAllBusy,         ///< Every one is above the load limit.
};

/// The choice and what decided it.
struct Selection {
  std::shared_ptr<Runner> runner;  ///< Null if there is none.
  SelectionFailure failure = SelectionFailure::kNone;
  std::uint32_t tokens_to_read = 0;       ///< Prompt tokens that the runner is expected to read.
  std::uint32_t candidates = 0;           ///< Runners it was chosen from.
  double load = 0;                        ///< Of the runner, before this request.
  std::uint32_t backlog_tokens = 0;       ///< Prompt tokens unread there, before this request.
  bool warm = false;                      ///< It is the one that keeps the prompt's prefix.
  std::optional<ExpectedTimes> expected;  ///< Times of the answer there, if they were predicted.

  /// What decides the times of the answer, beside the runner.
  [[nodiscard]] RunnerWork runner_work() const {
    return {.unread_tokens = static_cast<double>(backlog_tokens + tokens_to_read), .load = load};
  }
};

/// Selects a runner; pure but for tie breaking.
Selection select_runner(const RunnerRegistry& registry, const SelectionRequest& request,
                        TimePoint now);

}  // namespace stoathold
