/// @file
/// All job shards at one node: takes and serves leases, answers calls, hands out items.
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

/// Returns what a reader of a job is told of it.
JobStatus status_of(JobId id, const JobState& job);

/// Figures of one shard at this node, for operators and the capacity page.
struct ShardFigures {
  ShardId shard{};
  bool owned = false;
  Epoch epoch{};
  Offset next_offset{};
  std::size_t jobs = 0;
  std::size_t assigned = 0;
  std::uint64_t replayed_entries = 0;
  std::uint64_t replayed_bytes = 0;
};

/// The job-shard table and the system that runs over it. Thread safe (`LockRank::kJobShards`).
class ShardSystem {
 public:
  /// @param membership must outlive this object.
  ShardSystem(LeaseHolder self, const Knobs& knobs, const Membership& membership);

  void tick(const WeightLookup& weight_of, TimePoint now, Effects& effects);
  /// Each takes the answer to a log call; returns whether the token was this system's.
  bool on_log_appended(const std::string& stream, std::uint64_t token, LogStatus status,
                       Offset offset, TimePoint now, Effects& effects);
  bool on_log_read(const std::string& stream, std::uint64_t token, LogStatus status,
                   const std::vector<LogEntry>& entries, Offset head, TimePoint now,
                   Effects& effects);
  bool on_log_head(const std::string& stream, std::uint64_t token, LogStatus status, Offset head,
                   Effects& effects);

  void on_call(NodeId caller, const ShardCall& call, TimePoint now, Effects& effects);
  void on_pull(NodeId puller, const BatchPull& pull, TimePoint now, Effects& effects);
  void on_return(NodeId sender, const BatchReturn& returned, TimePoint now, Effects& effects);
  void on_renew(NodeId sender, const BatchRenew& renew, TimePoint now, Effects& effects);

  /// Starts to give up every lease, for a planned stop.
  void set_draining();
  [[nodiscard]] std::uint32_t owned_shards() const;
  [[nodiscard]] std::vector<PendingCount> pending() const;
  [[nodiscard]] std::vector<ShardFigures> figures() const;

 private:
  struct CallReference {
    NodeId caller{};
    std::uint64_t call = 0;
  };
  /// An operation that waits to be folded.
  struct PendingOperation {
    std::vector<CallReference> callers;
    ShardRequest request;
    NodeId returner{};  ///< For completions: who is told when they are durable.
    std::vector<ItemKey> completed;
  };
  /// A read call that waits until the tail of the stream was read.
  struct WaitingRead {
    CallReference caller;
    ShardRequest request;
    std::uint64_t ticket = 0;
    TimePoint since;
  };
  /// A page of results that waits for log entries.
  struct ResultsPage {
    CallReference caller;
    JobResults page;
    std::map<Offset, std::vector<std::uint32_t>> wanted;
    JobId job{};
    TimePoint since;
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
    std::map<std::uint64_t, std::pair<std::uint64_t, Offset>> page_reads;
    std::map<std::uint64_t, Offset> run_reads;
    TimePoint run_read_at;
    bool owned = false;
  };

  ShardRow* row_of_stream(const std::string& stream);
  void settle(ShardRow& row, TimePoint now, Effects& effects);
  void settle_operation(ShardRow& row, const ResolvedOperation& resolved, Effects& effects);
  void settle_reads(ShardRow& row, TimePoint now, Effects& effects);
  void lose_lease(ShardRow& row, Effects& effects);
  void serve_submit(ShardRow& row, const CallReference& caller, const SubmitJobCall& call,
                    TimePoint now, Effects& effects);
  void serve_cancel(ShardRow& row, const CallReference& caller, const CancelJobCall& call,
                    TimePoint now, Effects& effects);
  void serve_claim(ShardRow& row, const CallReference& caller, const ClaimRequestCall& call,
                   TimePoint now, Effects& effects);
  void serve_read(ShardRow& row, const CallReference& caller, const ShardRequest& request,
                  TimePoint now, Effects& effects);
  void answer_read(ShardRow& row, const WaitingRead& read, TimePoint now, Effects& effects);
  void start_page(ShardRow& row, const WaitingRead& read, const JobResultsCall& call, TimePoint now,
                  Effects& effects);
  void fill_page(ShardRow& row, std::uint64_t page_id, Offset offset, const ShardEntry& entry,
                 Effects& effects);
  void load_run(ShardRow& row, Offset offset, TimePoint now, Effects& effects);
  bool on_side_read(ShardRow& row, std::uint64_t token, LogStatus status,
                    const std::vector<LogEntry>& entries, Effects& effects);
  static void take_completion(ShardRow& row, const ReturnedItem& item,
                              std::map<JobId, std::vector<ItemResult>>& completed,
                              std::vector<ItemKey>& accepted, std::vector<ItemKey>& settled);
  void reply(const CallReference& caller, ShardAnswer answer, Effects& effects) const;
  void refuse(const CallReference& caller, ErrorCode code, Execution execution,
              Effects& effects) const;
  std::uint64_t new_operation() { return ++last_operation_; }
  std::uint64_t new_side_token();

  const LeaseHolder self_;
  const Knobs& knobs_;
  const Membership& membership_;
  mutable RankedMutex mutex_{LockRank::kJobShards};
  std::vector<std::unique_ptr<ShardRow>> rows_;
  std::map<std::string, ShardRow*> rows_by_stream_;
  std::uint64_t last_operation_ = 0;
  std::uint64_t last_side_token_ = 0;
  bool draining_ = false;
  std::uint64_t members_version_ = 0;
  std::vector<std::optional<NodeId>> rightful_;
  WeightLookup weight_of_;
};

}  // namespace stoathold
