/// @file
/// Runs one item of a batch job at runners until it has a result.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "gateway/attempt_result.h"
#include "gateway/event_framer.h"
#include "gateway/event_gap_window.h"
#include "gateway/gateway_context.h"
#include "gateway/prompt_prefix.h"
#include "jobs/item_schedule.h"
#include "jobs/item_stages.h"
#include "jobs/job_records.h"
#include "quarantine/quarantine_check.h"

namespace stoathold {

/// What an item's run needs to know of its job.
struct ItemContext {
  JobKey job;
  std::uint32_t index = 0;
  std::string item_id;
  std::string host;
  std::string path;    ///< The job was submitted to; finds the route.
  std::string tenant;  ///< Whose job it is; empty: anonymous.
  std::int64_t submitted_ms = 0;
};

/// One item on its way to a result. Lives in a shared pointer as long as its coroutine.
///
/// A run that breaks is continued behind its last event at any runner; only the runner's own errors
/// count as failures. `stop` makes `run` return without a result, with the progress kept.
class ItemRun : public std::enable_shared_from_this<ItemRun> {
 public:
  ItemRun(GatewayContext& context, ItemContext item, ItemRequest request, ItemProgress progress,
          Duration clock_skew);

  /// Called when the item comes to another stage.
  using StageListener = std::function<void(ItemStage)>;
  void set_stage_listener(StageListener listener) { stage_listener_ = std::move(listener); }

  /// Runs until there is a result, or nothing if it was stopped.
  boost::asio::awaitable<std::optional<ItemResult>> run();
  /// Ends the run; the runner stops work.
  void stop();
  /// Gives the place back; the run goes on behind its last event once there is room again.
  void yield();
  [[nodiscard]] bool yielding() const { return yielding_; }
  /// The runner it runs at now, or null.
  [[nodiscard]] const std::shared_ptr<Runner>& runner() const { return runner_; }
  [[nodiscard]] TimePoint placed_at() const { return placed_at_; }
  /// How urgent the item is now.
  [[nodiscard]] ItemSchedule schedule() const;

  /// How far the item came; worth keeping if it has events or failures.
  [[nodiscard]] const ItemProgress& progress() const { return progress_; }
  [[nodiscard]] bool has_progress() const {
    return progress_.last_event > 0 || progress_.failures > 0;
  }

 private:
  void set_stage(ItemStage stage) const {
    if (stage_listener_) stage_listener_(stage);
  }
  boost::asio::awaitable<AttemptResult> attempt(std::shared_ptr<Runner> runner);
  boost::asio::awaitable<AttemptResult> read_answer(Runner& runner);
  boost::asio::awaitable<AttemptResult> read_events();
  void record_first_event();
  void record_event_gap(EventGapWindow& window);
  [[nodiscard]] Duration age() const;
  boost::asio::awaitable<void> sleep_for(Duration duration);
  [[nodiscard]] UpstreamRequest build_request(const Runner& runner) const;
  boost::asio::awaitable<std::shared_ptr<Runner>> acquire_runner(const Route& route);
  /// Its wait among those of all nodes of the zone.
  struct QueueEntry {
    bool active = false;  ///< Nodes take turns.
    std::uint64_t service = 0;
    ItemUrgency urgency = ItemUrgency::kInTime;
  };
  /// Begins to wait among them, and fills in what follows for the request.
  QueueEntry join_queue(PlacementRequest& request, const ItemSchedule& schedule);
  [[nodiscard]] bool is_expired(const Route& route) const;
  [[nodiscard]] ItemResult make_result(ItemState state) const;
  [[nodiscard]] std::vector<std::uint64_t> runners_to_avoid(const std::string& service) const;
  [[nodiscard]] bool has_exhausted_attempts(const Route& route) const;
  void log_selection(const Selection& choice, const ItemSchedule& schedule);
  [[nodiscard]] AttemptOutcome attempt_outcome(const Runner& runner, AttemptResult result) const;
  void record_attempt(Runner& runner, AttemptResult result);

  GatewayContext& context_;
  ItemContext item_;
  ItemRequest request_;
  ItemProgress progress_;
  Duration clock_skew_;
  QuarantineCheck quarantine_check_;
  PromptPrefix prompt_;
  TokenCount answer_tokens_;          ///< Most of the item; 0: not known.
  std::string route_name_;            ///< As last looked up.
  Duration objective_{0};             ///< Of that route, from the submission to the result.
  std::uint32_t tokens_to_read_ = 0;  ///< Of the current attempt, until its answer begins.
  std::shared_ptr<PlacementTicket> ticket_;
  std::shared_ptr<UpstreamExchange> upstream_;
  std::shared_ptr<Runner> runner_;
  TimePoint placed_at_{};
  std::uint32_t send_count_ = 0;
  RunStage stage_ = RunStage::kWaiting;  ///< Of the current attempt.
  /// Starts of runners that answered this run with an error of their own, by `Runner::hash`.
  std::vector<std::uint64_t> failed_runners_;
  std::string choice_;      ///< What decided the current attempt's runner, for logs.
  RunnerWork runner_work_;  ///< What decides the times of its answer.
  bool yielding_ = false;
  StageListener stage_listener_;
  Timer timer_;
  bool stopped_ = false;
};

}  // namespace stoathold
