/// @file
/// Runs the batch jobs of the group slots assigned to this node.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "admission/shared_budget.h"
#include "base/timer.h"
#include "gateway/gateway_context.h"
#include "jobs/checkpoint_table.h"
#include "jobs/held_requests.h"
#include "jobs/item_run.h"
#include "jobs/item_stage_log.h"
#include "jobs/item_stages.h"
#include "jobs/job_discovery.h"
#include "jobs/job_loader.h"
#include "jobs/job_store.h"
#include "jobs/result_writer.h"
#include "jobs/slot_membership.h"
#include "routing/load_messages.h"

namespace stoathold {

/// Settings of a job runner.
struct JobRunnerSettings {
  std::string member_name;      ///< Name of this node in the worker group; stable across restarts.
  Duration status_lifetime{0};  ///< Time after submission during which results stay readable.
  Duration clock_skew{0};       ///< Maximum difference between the clocks of two nodes.
};

/// Starts a job when it is accepted or its slot is assigned to this node, stops it when it is
/// cancelled or finished or its slot is revoked, and marks it finished once each of its items has a
/// durable result. Not thread-safe.
class JobRunner {
 public:
  JobRunner(GatewayContext& context, JobStore& store, RecordLog& log, JobRunnerSettings settings);

  /// Called with the member names of the worker group after each membership change.
  using MembersListener = std::function<void(const std::vector<std::string>&)>;
  void set_members_listener(MembersListener listener) { members_listener_ = std::move(listener); }

  void start();
  /// Shuts down in an orderly way: writes the progress of the running items, releases all slots and
  /// leaves the group.
  boost::asio::awaitable<void> stop();

  /// Preempts one batch item on a runner that matches the request, to free its slot. Prefers an
  /// item that will miss its objective anyway, then the one with the most slack.
  /// @return false if no running item matches.
  bool yield_slot(const YieldRequest& request);

  [[nodiscard]] std::size_t running_items() const { return running_items_; }
  [[nodiscard]] std::size_t unwritten_results() const { return writer_.pending(); }
  [[nodiscard]] std::size_t waiting_items() const { return waiting_.size(); }
  /// Returns the number of open items by stage, and the oldest item.
  [[nodiscard]] StageSummary item_stages() const { return stages_.summary(monotonic_now()); }

 private:
  /// State of a job that this node runs.
  struct ActiveJob {
    std::string host;
    std::string path;
    std::string tenant;
    std::int64_t submitted_ms = 0;
    std::vector<JobItem> items;
    std::map<std::uint32_t, ItemRequest> requests;  ///< Requests of waiting items, by item.
    std::map<std::uint32_t, std::shared_ptr<ItemRun>> runs;
    BudgetOwner budget_owner;  ///< Account charged for its items; set before any request is read.
    std::uint64_t finished_tokens = 0;
    std::set<std::uint32_t> unfinished_items;  ///< Items without a durable result.
    bool stopped = false;
  };
  void queue_checkpoint(const ItemRun& run);
  [[nodiscard]] std::size_t item_limit() const;

  /// An item whose request has been read and that waits to be started. Ordered by the submission
  /// time of its job.
  struct WaitingItem {
    std::int64_t submitted_ms = 0;
    JobKey job;
    std::uint32_t index = 0;

    auto operator<=>(const WaitingItem&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  void on_job_changed(const JobKey& key, const JobEntry& job);
  void start_job(const JobKey& key, const JobEntry& job);
  /// @return the items without a durable result, which are to be run.
  std::vector<std::uint32_t> on_job_loaded(const JobKey& key,
                                           const std::shared_ptr<ActiveJob>& job);
  void on_request_read(const JobKey& key, ActiveJob& job, std::uint32_t index, ItemRequest request);
  /// Dead-letters an item whose request is not in the log if its retention has ended.
  /// @return whether the request is to be read again.
  bool on_request_missing(const JobKey& key, const ActiveJob& job, std::uint32_t index);
  /// Returns whether the retention of a job's items has ended; false while its route is missing.
  [[nodiscard]] bool has_expired(const ActiveJob& job) const;
  void stop_job(const JobKey& key, bool keep_progress);
  void start_waiting_items();
  /// Returns whether the limits allow reading more requests of the job.
  [[nodiscard]] bool can_read_requests(const JobKey& key) const;
  [[nodiscard]] BudgetOwner budget_owner_of(const JobKey& key, const ActiveJob& job) const;
  /// Starts the first waiting item that the concurrency limits admit.
  /// @return false if there is none.
  bool start_next_item();
  /// Records an item's stage; ignored if the job was stopped or the item has a durable result.
  void enter_stage(const JobKey& key, const ActiveJob& job, std::uint32_t index, ItemStage stage);
  [[nodiscard]] std::string item_id(const JobKey& key, std::uint32_t index) const;
  boost::asio::awaitable<void> run_item(WaitingItem item, std::shared_ptr<ActiveJob> job,
                                        ItemRequest request);
  void on_result_durable(const ItemResult& result);
  /// Replaces a rejected result by a dead-lettered one if the item's retention has ended, and drops
  /// it if this node does not run the job any more.
  RejectedResultAction on_result_rejected(ItemResult& result);
  boost::asio::awaitable<void> finish_job(JobKey key, std::shared_ptr<ActiveJob> job);
  boost::asio::awaitable<void> release_slots(std::set<std::uint32_t> slots);
  boost::asio::awaitable<void> maintain();
  boost::asio::awaitable<void> erase_expired();
  boost::asio::awaitable<void> write_progress_counts();
  void queue_checkpoints();
  boost::asio::awaitable<void> write_checkpoints();
  [[nodiscard]] bool holds(const JobKey& key) const;
  /// Returns the share of the slots that this node holds; 0 while it knows no configuration.
  [[nodiscard]] double held_share() const;

  GatewayContext& context_;
  JobStore& store_;
  JobRunnerSettings settings_;
  ResultWriter writer_;
  JobLoader loader_;
  SlotMembership membership_;
  JobDiscovery discovery_;
  std::map<JobKey, std::shared_ptr<ActiveJob>> jobs_;
  std::set<WaitingItem> waiting_;
  ItemStages stages_;
  ItemStageLog stage_log_;
  std::set<JobKey> jobs_with_changed_counts_;
  CheckpointTable durable_checkpoints_;
  /// Progress to be written in the next round, by partition.
  std::map<PartitionName, std::vector<ItemProgress>> pending_checkpoints_;
  TimePoint started_{};
  MembersListener members_listener_;
  std::size_t running_items_ = 0;
  SharedBudget running_budget_;       ///< Limits items that run or wait for a runner's slot.
  SharedBudget waiting_budget_;       ///< Limits items that wait to be started.
  SharedBudget request_byte_budget_;  ///< Limits request bytes of waiting and running items.
  HeldRequests held_requests_;        ///< Charges the requests to the process memory budget.
  bool stopping_ = false;
};

}  // namespace stoathold
