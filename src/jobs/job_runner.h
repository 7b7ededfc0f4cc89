/// @file
/// Runs the jobs of the slots that this node holds.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "admission/shared_room.h"
#include "base/timer.h"
#include "gateway/gateway_context.h"
#include "jobs/checkpoint_table.h"
#include "jobs/held_requests.h"
#include "jobs/item_run.h"
#include "jobs/item_stage_log.h"
#include "jobs/item_stages.h"
#include "jobs/job_loader.h"
#include "jobs/job_store.h"
#include "jobs/result_writer.h"
#include "jobs/slot_membership.h"
#include "routing/load_messages.h"

namespace stoathold {

/// Settings of a job runner.
struct JobRunnerSettings {
  std::string member_name;      ///< Of this node in the workers' group; the same after a restart.
  Duration status_lifetime{0};  ///< Results stay readable this long after the submission.
  Duration clock_skew{0};       ///< Most that the nodes' clocks differ.
};

/// Starts jobs when they are accepted or their slot is gained, stops them when they are ended or
/// finished or their slot is lost, and marks them finished. Used on one thread.
class JobRunner {
 public:
  JobRunner(GatewayContext& context, JobStore& store, RecordLog& log, JobRunnerSettings settings);

  /// Called with the names of the workers' group after each change.
  using MembersListener = std::function<void(const std::vector<std::string>&)>;
  void set_members_listener(MembersListener listener) { members_listener_ = std::move(listener); }

  void start();
  /// Planned stop: gives the slots up with their progress written, and leaves the group.
  boost::asio::awaitable<void> stop();

  /// A run at a runner that the request names gives its slot back: one that will be late anyway, or
  /// the one with the most slack.
  /// @return false if there is none.
  bool yield_place(const YieldRequest& request);

  [[nodiscard]] std::size_t running_items() const { return running_items_; }
  [[nodiscard]] std::size_t unwritten_results() const { return writer_.pending(); }
  [[nodiscard]] std::size_t waiting_items() const { return waiting_.size(); }
  /// Where the open items are now.
  [[nodiscard]] StageSummary item_stages() const { return stages_.summary(monotonic_now()); }

 private:
  /// A job that this node runs.
  struct ActiveJob {
    std::string host;
    std::string path;
    std::string tenant;
    std::int64_t submitted_ms = 0;
    std::vector<JobItem> items;
    std::map<std::uint32_t, ItemRequest> requests;  ///< Of the items that wait to be run.
    std::map<std::uint32_t, std::shared_ptr<ItemRun>> runs;
    RoomHolder
        capacity_key;  ///< What its items count towards; fixed when the first one may be read.
    std::uint64_t finished_tokens = 0;
    std::set<std::uint32_t> unfinished_items;  ///< Items without a durable result.
    bool stopped = false;
  };
  void queue_checkpoint(const ItemRun& run);
  [[nodiscard]] std::size_t item_limit() const;

  /// An item whose request is read and that waits to be run, the most urgent first.
  struct WaitingItem {
    std::int64_t submitted_ms = 0;
    JobKey job;
    std::uint32_t index = 0;

    auto operator<=>(const WaitingItem&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  void on_job_changed(const JobKey& key, const JobEntry& job);
  void start_job(const JobKey& key, const JobEntry& job);
  /// @return the items that are to be run.
  std::vector<std::uint32_t> on_job_loaded(const JobKey& key,
                                           const std::shared_ptr<ActiveJob>& job);
  void on_request_read(const JobKey& key, ActiveJob& job, std::uint32_t index, ItemRequest request);
  void stop_job(const JobKey& key, bool keep_progress);
  void start_waiting_items();
  /// Returns whether more requests of the job may be read.
  [[nodiscard]] bool can_read_requests(const JobKey& key) const;
  [[nodiscard]] RoomHolder capacity_key_of(const JobKey& key, const ActiveJob& job) const;
  /// Gives the turn of the next item that may have one to it.
  /// @return false if there is none.
  bool start_next_item();
  /// Notes an item's stage; one that was stopped, or has a durable result, has none.
  void enter_stage(const JobKey& key, const ActiveJob& job, std::uint32_t index, ItemStage stage);
  [[nodiscard]] std::string item_id(const JobKey& key, std::uint32_t index) const;
  boost::asio::awaitable<void> run_item(WaitingItem item, std::shared_ptr<ActiveJob> job,
                                        ItemRequest request);
  void on_result_durable(const ItemResult& result);
  boost::asio::awaitable<void> finish_job(JobKey key, std::shared_ptr<ActiveJob> job);
  boost::asio::awaitable<void> release_slots(std::set<std::uint32_t> slots);
  boost::asio::awaitable<void> maintain();
  boost::asio::awaitable<void> erase_expired();
  boost::asio::awaitable<void> write_progress_counts();
  void queue_checkpoints();
  boost::asio::awaitable<void> write_checkpoints();
  [[nodiscard]] bool holds(const JobKey& key) const;

  GatewayContext& context_;
  JobStore& store_;
  JobRunnerSettings settings_;
  ResultWriter writer_;
  JobLoader loader_;
  SlotMembership membership_;
  std::map<JobKey, std::shared_ptr<ActiveJob>> jobs_;
  std::set<WaitingItem> waiting_;
  ItemStages stages_;
  ItemStageLog stage_log_;
  std::set<JobKey> jobs_with_changed_counts_;
  CheckpointTable durable_checkpoints_;
  /// Progress that is to be written, by partition.
  std::map<PartitionName, std::vector<ItemProgress>> pending_checkpoints_;
  TimePoint started_{};
  MembersListener members_listener_;
  std::size_t running_items_ = 0;
  SharedRoom running_capacity_;       ///< Of items that run or wait for a slot.
  SharedRoom waiting_capacity_;       ///< Of items that wait for their turn.
  SharedRoom request_byte_capacity_;  ///< Of items that wait or run.
  HeldRequests held_requests_;        ///< The same bytes, in the budget of the process.
  bool stopping_ = false;
};

}  // namespace stoathold
