/// @file
/// Batch admission at the runners that this node owns: pulls items for free slots and preempts them
/// for online streams.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/ranked_mutex.h"
#include "core/configuration_system.h"
#include "core/effects.h"
#include "core/knobs.h"
#include "core/membership.h"
#include "core/runner_table.h"

namespace stoathold {

/// Current division of a runner's slots between online and batch streams, for metrics.
struct BatchRunnerStatistics {
  RunnerId runner{};
  std::uint32_t slots = 0;
  std::uint32_t online = 0;
  std::uint32_t batch = 0;
  std::uint32_t limit = 0;
  double reserve = 0;
};

/// Counters for metrics and reports.
struct BatchCounters {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t preempted = 0;
  /// Tokens kept as progress of streams that did not complete.
  std::uint64_t preserved_tokens = 0;
};

/// Admits batch streams at the runners that this node owns. Thread safe
/// (`LockRank::kBatchRunners`).
///
/// Rendezvous hashing assigns each runner to one owner node in its zone. While two nodes disagree
/// about the owner, both admit batch work at the runner, which costs a little capacity but is
/// otherwise harmless. Batch streams use the slots that remain after online streams and the learned
/// reserve. When an online stream starts, excess batch streams are preempted at once, newest first,
/// and each item is returned to its shard owner with the text generated so far.
class BatchRunners {
 public:
  BatchRunners(NodeId self, std::uint64_t seed, const Knobs& knobs, const Membership& membership,
               const ConfigurationSystem& configuration, RunnerTable& runners);

  /// Runs all periodic work: limits, preemption, dispatch, pulls, returns and renewals.
  /// @param pending work advertised by all shard owners, including this node.
  void tick(const std::vector<PendingWork>& pending, TimePoint now, Effects& effects);
  /// Applies a load report polled from an owned runner.
  void on_load_report(const RunnerLoad& load, TimePoint now, Effects& effects);
  /// Counts an online stream that starts at a runner and preempts batch streams if necessary.
  void on_online_notice(const OnlineNotice& notice, TimePoint now, Effects& effects);
  /// Queues the assigned items, except those already tracked, and starts as many as possible.
  void on_assign(NodeId owner, const BatchAssign& assigned, TimePoint now, Effects& effects);
  /// Stops resending the acknowledged items and discards them.
  void on_return_ack(const BatchReturnAck& ack);
  /// Discards the listed items and cancels their streams.
  void on_stop(const BatchStop& stop, Effects& effects);
  /// Handles the end of a stream; returns false if it is not a batch stream.
  bool on_stream_ended(const StreamEnd& end, TimePoint now, Effects& effects);

  /// Returns all items to their shard owners before a planned shutdown.
  void set_draining(Effects& effects);
  /// Whether no item is queued, running or waiting for a return acknowledgement.
  [[nodiscard]] bool idle() const;
  /// Returns the owner of a runner in this node's view of the membership, or nothing if unknown.
  [[nodiscard]] std::optional<NodeId> owner_of(RunnerId runner) const;
  /// Returns the loads of the owned runners, which this node polls and sends in heartbeats.
  [[nodiscard]] std::vector<RunnerLoad> owned_loads() const;
  [[nodiscard]] std::vector<BatchRunnerStatistics> statistics() const;
  [[nodiscard]] BatchCounters counters() const;

 private:
  struct OwnedRunner {
    std::string service;
    std::string address;
    std::uint32_t slots = 0;
    RunnerLoad report;
    bool leaving = false;
    std::deque<TimePoint> recent_starts;  ///< Online starts not yet in load reports.
    std::uint32_t limit = 0;
    double reserve = 0;  ///< Slots kept free for online bursts, learned from recent ones.
    std::uint32_t previous_online = 0;  ///< Online streams at the last update of `reserve`.
    std::uint32_t failures = 0;
    TimePoint backoff_until;
    TimePoint next_limit_increase;
    TimePoint reserve_updated;
    std::vector<StreamId> streams;  ///< Oldest first.
  };
  struct BatchStream {
    RunnerId runner{};
    AssignedItem item;
    bool cancelled = false;
  };

  void refresh_ownership(TimePoint now);
  [[nodiscard]] std::uint32_t online_stream_count(const OwnedRunner& row) const;
  [[nodiscard]] std::uint32_t allowed_batch_streams(const OwnedRunner& row) const;
  void update_reserve(OwnedRunner& row, TimePoint now) const;
  void preempt_excess(OwnedRunner& row, Effects& effects);
  void increase_limit(OwnedRunner& row, TimePoint now) const;
  void dispatch_queued_items(TimePoint now, Effects& effects);
  void pull_work(const std::vector<PendingWork>& pending, TimePoint now, Effects& effects);
  void send_returns(TimePoint now, Effects& effects);
  void renew(TimePoint now, Effects& effects);
  void return_unfinished(const AssignedItem& item, std::uint32_t tokens, std::string text);

  const NodeId self_;
  const Knobs& knobs_;
  const Membership& membership_;
  const ConfigurationSystem& configuration_;
  RunnerTable& runners_;
  mutable RankedMutex mutex_{LockRank::kBatchRunners};
  Random random_;
  std::map<RunnerId, OwnedRunner> owned_runners_;
  std::unordered_map<StreamId, BatchStream> batch_streams_;
  std::deque<AssignedItem> queued_items_;            ///< Assigned to this node, not yet running.
  std::map<ItemKey, ReturnedItem> pending_returns_;  ///< Not yet acknowledged by the shard owner.
  std::set<ItemKey> tracked_items_;  ///< All items queued, running or being returned.
  BatchCounters counters_;
  std::uint64_t last_stream_ = 0;
  std::uint64_t ownership_version_ = 0;
  TimePoint next_pull_;
  TimePoint next_return_;
  TimePoint next_renew_;
  bool draining_ = false;
};

}  // namespace stoathold
