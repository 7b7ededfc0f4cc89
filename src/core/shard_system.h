/// @file
/// The job shards on one node: lease handling, shard calls and assignment of batch items.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ranked_mutex.h"
#include "core/effects.h"
#include "core/job_scheduler.h"
#include "core/knobs.h"
#include "core/membership.h"
#include "core/shard_replica.h"

namespace stoathold {

/// Returns the status of a job as reported to clients.
JobStatus status_of(JobId id, const JobState& job);

/// Statistics of one shard on this node, for operators and capacity planning.
struct ShardStatistics {
  ShardId shard{};
  bool owned = false;
  Epoch epoch{};
  Offset next_offset{};
  std::size_t jobs = 0;
  std::size_t assigned = 0;
  std::uint64_t replayed_entries = 0;
  std::uint64_t replayed_bytes = 0;
};

/// Runs the replicas of all job shards and serves the shards whose lease this node holds.
/// Thread safe (`LockRank::kJobShards`).
class ShardSystem {
 public:
  /// @param membership must outlive this object.
  ShardSystem(LeaseHolder self, const Knobs& knobs, const Membership& membership);

  /// Recomputes the designated owners if the membership changed, advances every replica and
  /// expires assignments of items. `weight_of` supplies the weights of priority classes.
  void tick(const WeightLookup& weight_of, TimePoint now, Effects& effects);
  /// These three handle log responses; they return whether `stream` belongs to a job shard.
  bool on_log_appended(const std::string& stream, std::uint64_t token, LogStatus status,
                       Offset offset, TimePoint now, Effects& effects);
  bool on_log_read(const std::string& stream, std::uint64_t token, LogStatus status,
                   const std::vector<LogEntry>& entries, Offset head, TimePoint now,
                   Effects& effects);
  bool on_log_head(const std::string& stream, std::uint64_t token, LogStatus status, Offset head,
                   Effects& effects);

  /// Serves a shard call, or rejects it if this node does not own the shard.
  void on_call(NodeId caller, const ShardCall& call, TimePoint now, Effects& effects);
  /// Assigns pending items of the owned shards to a node with free batch slots.
  void on_pull(NodeId puller, const BatchPull& pull, TimePoint now, Effects& effects);
  /// Records finished items and requeues unfinished ones. An item with a new result is
  /// acknowledged when the result is durable, any other one at once.
  void on_return(NodeId sender, const BatchReturn& returned, TimePoint now, Effects& effects);
  /// Extends the assignments of items that a node still runs; tells it to stop obsolete ones.
  void on_renew(NodeId sender, const BatchRenew& renew, TimePoint now, Effects& effects);

  /// Starts releasing every lease, for a planned shutdown.
  void set_draining();
  [[nodiscard]] std::uint32_t owned_shards() const;
  /// Counts of pending items of the owned shards by weight and service, largest weight first.
  [[nodiscard]] std::vector<PendingCount> pending() const;
  /// Statistics of every shard that this node follows.
  [[nodiscard]] std::vector<ShardStatistics> statistics() const;

 private:
  struct CallReference {
    NodeId caller{};
    std::uint64_t call = 0;
  };
  /// An operation whose records are not applied yet.
  struct PendingOperation {
    std::vector<CallReference> callers;
    ShardRequest request;
    NodeId returning_node{};  ///< For completions: the node to acknowledge once durable.
    std::vector<ItemKey> completed;
  };
  /// A read call that waits for its read barrier.
  struct WaitingRead {
    CallReference caller;
    ShardRequest request;
    std::uint64_t ticket = 0;
    TimePoint queued_at;
  };
  /// A page of results whose log entries are being read.
  struct ResultsPage {
    CallReference caller;
    JobResults page;
    std::map<Offset, std::vector<std::uint32_t>> missing;  ///< Item indexes by log offset.
    JobId job{};
    TimePoint started_at;
  };
  struct ShardRow {
    ShardRow(ShardId shard, LeaseHolder self, const Knobs& knobs)
        : replica(shard, self, knobs), scheduler(shard, knobs) {}
    ShardReplica replica;
    JobScheduler scheduler;
    std::map<std::uint64_t, PendingOperation> operations;
    std::map<JobId, std::uint64_t> submitting;
    std::vector<WaitingRead> reads;
    std::map<std::uint64_t, ResultsPage> pages;
    std::map<std::uint64_t, std::pair<std::uint64_t, Offset>>
        page_reads;  ///< Token -> page, offset.
    std::map<std::uint64_t, Offset> item_run_reads;
    TimePoint item_run_read_sent_at;
    bool owned = false;
  };

  ShardRow* row_of_stream(const std::string& stream);
  void process_replica_results(ShardRow& row, TimePoint now, Effects& effects);
  void complete_operation(ShardRow& row, const ResolvedOperation& resolved, Effects& effects);
  void process_waiting_reads(ShardRow& row, TimePoint now, Effects& effects);
  void on_lease_lost(ShardRow& row, Effects& effects);
  void serve_submit(ShardRow& row, const CallReference& caller, const SubmitJobCall& call,
                    TimePoint now, Effects& effects);
  void serve_cancel(ShardRow& row, const CallReference& caller, const CancelJobCall& call,
                    TimePoint now, Effects& effects);
  void serve_claim(ShardRow& row, const CallReference& caller, const ClaimRequestCall& call,
                   TimePoint now, Effects& effects);
  void serve_read(ShardRow& row, const CallReference& caller, const ShardRequest& request,
                  TimePoint now, Effects& effects);
  void answer_read(ShardRow& row, const WaitingRead& read, TimePoint now, Effects& effects);
  void start_results_page(ShardRow& row, const WaitingRead& read, const JobResultsCall& call,
                          TimePoint now, Effects& effects);
  void add_to_results_page(ShardRow& row, std::uint64_t page_id, Offset offset,
                           const ShardEntry& entry, Effects& effects);
  void request_item_run(ShardRow& row, Offset offset, TimePoint now, Effects& effects);
  bool on_direct_read(ShardRow& row, std::uint64_t token, LogStatus status,
                      const std::vector<LogEntry>& entries, Effects& effects);
  static void handle_returned_item(ShardRow& row, const ReturnedItem& item,
                                   std::map<JobId, std::vector<ItemResult>>& completed,
                                   std::vector<ItemKey>& accepted,
                                   std::vector<ItemKey>& acknowledged);
  void reply(const CallReference& caller, ShardAnswer answer, Effects& effects) const;
  void reply_failure(const CallReference& caller, ErrorCode code, Execution execution,
                     Effects& effects) const;
  std::uint64_t new_operation() { return ++last_operation_; }
  std::uint64_t new_direct_read_token();

  const LeaseHolder self_;
  const Knobs& knobs_;
  const Membership& membership_;
  mutable RankedMutex mutex_{LockRank::kJobShards};
  std::vector<std::unique_ptr<ShardRow>> rows_;
  std::map<std::string, ShardRow*> rows_by_stream_;
  std::uint64_t last_operation_ = 0;
  std::uint64_t last_direct_read_token_ = 0;
  bool draining_ = false;
  std::uint64_t members_version_ = 0;
  std::vector<std::optional<NodeId>> designated_owners_;
  WeightLookup weight_of_;
};

}  // namespace stoathold
