/// @file
/// Runs one item of a batch job on runners until it has a result.
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
#include "gateway/response_end.h"
#include "jobs/item_schedule.h"
#include "jobs/item_stages.h"
#include "jobs/job_records.h"
#include "quarantine/quarantine_check.h"

namespace stoathold {

/// Identity of an item and the properties of its job that a run needs.
struct ItemContext {
  JobKey job;
  std::uint32_t index = 0;
  std::string item_id;
  std::string host;
  std::string path;    ///< Path that the job was submitted to; selects the route.
  std::string tenant;  ///< Tenant that owns the job; empty: anonymous.
  std::int64_t submitted_ms = 0;
};

/// Executes one item, with retries, until it has a result. Must be owned by a shared pointer; the
/// coroutine of `run` keeps it alive.
///
/// An attempt whose connection breaks is resumed after its last event on any runner of the software
/// version that began the text; without one, the item starts again from its first event. Only
/// errors reported by a runner count as failures. `ResponseEndCheck` decides whether a response
/// that ended is complete. `stop` makes `run` return without a result and keeps the progress.
///
/// A text that becomes longer than can be stored ends the attempt. After a second such text the
/// item is not run again, and is dead-lettered with its retention, or at once if its route has
/// none.
class ItemRun : public std::enable_shared_from_this<ItemRun> {
 public:
  ItemRun(GatewayContext& context, ItemContext item, ItemRequest request, ItemProgress progress,
          Duration clock_skew);

  /// Called when the item enters a stage.
  using StageListener = std::function<void(ItemStage)>;
  void set_stage_listener(StageListener listener) { stage_listener_ = std::move(listener); }

  /// Runs the item.
  /// @return its result, or nothing if it was stopped.
  boost::asio::awaitable<std::optional<ItemResult>> run();
  /// Stops the run and cancels the request at the runner.
  void stop();
  /// Releases the runner's slot; the run resumes after its last event once a slot is free again.
  void yield();
  [[nodiscard]] bool yielding() const { return yielding_; }
  /// Returns the runner that executes the item now, or null.
  [[nodiscard]] const std::shared_ptr<Runner>& runner() const { return runner_; }
  [[nodiscard]] TimePoint placed_at() const { return placed_at_; }
  /// Returns the current schedule of the item, from which its urgency follows.
  [[nodiscard]] ItemSchedule schedule() const;

  /// Returns the progress of the item. It needs a checkpoint only if `has_progress` holds: if it
  /// has events or failures.
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
  /// Checks whether a response that was read to its end completes the text.
  boost::asio::awaitable<AttemptResult> check_end();
  void record_origin();
  void record_first_event();
  void record_event_gap(EventGapWindow& window);
  boost::asio::awaitable<void> sleep_for(Duration duration);
  [[nodiscard]] UpstreamRequest build_request(const Runner& runner) const;
  boost::asio::awaitable<std::shared_ptr<Runner>> acquire_runner(const Route& route);
  /// Acquires a runner unless the item is quarantined and has no trial now.
  boost::asio::awaitable<std::shared_ptr<Runner>> acquire_permitted_runner(const Route& route);
  /// Returns whether a runner that can continue the text accepts work.
  [[nodiscard]] bool can_continue() const;
  /// Returns the service of the next attempt. Drops the text if no runner can continue it.
  [[nodiscard]] std::string next_service(const Route& route);
  void restart_text(const char* reason);
  void clear_text();
  /// Returns the maximum bytes of a text, which takes part of the memory budget.
  [[nodiscard]] std::uint64_t max_text_bytes() const;
  /// Applies the result of an attempt to the item.
  /// @return the item's result, if the attempt decided it.
  std::optional<ItemResult> apply_attempt(const Route& route, std::uint64_t runner,
                                          AttemptResult result);
  void on_text_too_long(std::uint64_t runner);
  /// Entry of this item in the batch queue that the nodes of the zone share.
  struct QueueEntry {
    bool active = false;  ///< Whether the nodes share a queue.
    std::uint64_t service = 0;
    ItemUrgency urgency = ItemUrgency::kInTime;
  };
  /// Joins the shared batch queue, and sets the fields of the request that depend on it.
  QueueEntry join_queue(PlacementRequest& request, const ItemSchedule& schedule);
  /// Returns whether the item ends without a run that completes it.
  [[nodiscard]] bool must_give_up(const Route& route) const;
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
  std::string text_service_;  ///< Name of the service of `progress_.origin`, once it was looked up.
  Duration clock_skew_;
  QuarantineCheck quarantine_check_;
  PromptPrefix prompt_;
  TokenCount answer_tokens_;  ///< Maximum output tokens of the item; 0: unknown.
  std::string route_name_;    ///< Name of the route as of the last lookup.
  Duration objective_{0};     ///< Completion objective of that route, from submission to result.
  /// Expected prompt tokens of the current attempt; 0 once its answer begins.
  std::uint32_t uncached_tokens_ = 0;
  std::shared_ptr<PlacementTicket> ticket_;
  std::shared_ptr<UpstreamExchange> upstream_;
  std::shared_ptr<Runner> runner_;
  TimePoint placed_at_{};
  std::uint32_t send_count_ = 0;
  RunStage stage_ = RunStage::kWaiting;  ///< Stage of the current attempt.
  /// `Runner::hash` of each runner process that answered this item with an error of its own. A
  /// restarted runner has another hash.
  std::vector<std::uint64_t> failed_runners_;
  std::string choice_;      ///< Why the runner of the current attempt was selected, for logs.
  RunnerWork runner_work_;  ///< Runner load at selection, which affects its response times.
  bool yielding_ = false;
  int probe_status_ = 0;      ///< `UpstreamExchange::probe_status` of the last attempt.
  bool is_on_trial_ = false;  ///< The current attempt tests the quarantine of the item.
  /// A trial was claimed, and no runner has had the request since.
  bool has_claimed_trial_ = false;
  /// The runner closed the connection of the last attempt before its first event.
  bool runner_may_have_exited_ = false;
  /// Two texts were longer than can be stored; the item is not run again.
  bool is_text_too_long_ = false;
  /// `Runner::hash` of the runner that sent the first such text.
  std::optional<std::uint64_t> long_text_from_;
  ResponseEndCheck end_check_;
  StageListener stage_listener_;
  Timer timer_;
  bool stopped_ = false;
};

}  // namespace stoathold
