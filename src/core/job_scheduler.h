/// @file
/// Assigns the batch items of one job shard to nodes and tracks them until their results are
/// durable.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "core/knobs.h"
#include "core/peer_messages.h"
#include "core/shard_state.h"

namespace stoathold {

/// Returns the configured weight of a priority class.
using WeightLookup = std::function<std::uint32_t(const std::string& priority_class)>;

/// Number of waiting items of one service and weight.
struct PendingCount {
  std::string service;
  std::uint32_t weight = 0;
  std::uint32_t items = 0;
};

/// Schedules the items of one shard while this node holds the shard's lease.
///
/// All state is volatile: each new owner rebuilds it from the shard's state. An item is waiting,
/// assigned (to the node that owns a runner, until the assignment expires unless it is renewed), or
/// finishing (its result is queued for the log). Jobs are ordered by weight, then by deadline. Not
/// thread safe; guarded by `LockRank::kJobShards`.
class JobScheduler {
 public:
  JobScheduler(ShardId shard, const Knobs& knobs) : shard_(shard), knobs_(knobs) {}

  /// Adds unfinished jobs of `state` that are not scheduled yet and removes finished ones.
  /// @return assigned items whose jobs are finished, cancelled or no longer known, by assigned
  /// node.
  std::map<NodeId, std::vector<ItemKey>> refresh(const ShardState& state,
                                                 const WeightLookup& weight_of);
  /// Discards all state. Called when the lease is lost.
  void clear();

  /// Assigns up to `max_items` waiting items of `services` to `requester`.
  /// @param missing_run set to the log offset of a run of items that must be loaded with `load_run`
  /// before more items can be assigned.
  std::vector<AssignedItem> assign(NodeId requester, const std::vector<std::string>& services,
                                   std::uint32_t max_items, TimePoint now,
                                   std::optional<Offset>& missing_run);
  /// Caches the items of the log entry at `offset`; the oldest cached entries are evicted.
  void load_run(Offset offset, const ShardEntry& entry);

  /// Marks an item as finishing. Returns false if it is finishing or completed already, or if its
  /// job is unknown or finished.
  bool mark_finishing(const ItemKey& key, const ShardState& state);
  /// Returns an unfinished item to the queue and keeps its generated text for the next assignment.
  void return_item(const ReturnedItem& item);
  /// Extends the assignments of the items that `node` reports as in progress.
  /// @return items whose result is no longer needed, which `node` should stop.
  std::vector<ItemKey> renew(NodeId node, const std::vector<ItemKey>& items,
                             const ShardState& state, TimePoint now);
  /// Requeues items whose assigned node is not alive or whose assignment timed out.
  void expire(TimePoint now, const std::function<bool(NodeId)>& is_alive);

  /// Returns the number of waiting items by service and weight, largest weight first.
  [[nodiscard]] std::vector<PendingCount> pending() const;
  [[nodiscard]] std::size_t assigned_count() const { return assignments_.size(); }

 private:
  struct Assignment {
    NodeId node{};
    TimePoint expires_at;
  };
  struct Progress {
    std::uint32_t tokens = 0;
    std::string text;
  };
  struct ScheduledJob {
    JobSpecification specification;
    std::uint32_t weight = 1;
    std::uint32_t item_count = 0;
    std::vector<ItemRun> runs;
    std::deque<std::uint32_t> waiting;
  };

  [[nodiscard]] std::vector<JobId> jobs_by_priority(const std::vector<std::string>& services) const;
  const BatchItem* find_item(JobId job, const ScheduledJob& scheduled, std::uint32_t index,
                             std::optional<Offset>& missing_run) const;
  void requeue(const ItemKey& key);

  const ShardId shard_;
  const Knobs& knobs_;
  std::map<JobId, ScheduledJob> jobs_;
  std::map<ItemKey, Assignment> assignments_;
  std::map<ItemKey, Progress> progress_;
  std::set<ItemKey> finishing_;
  std::map<Offset, std::map<JobId, ItemsSubmitted>> loaded_runs_;
  std::deque<Offset> loaded_run_order_;
};

}  // namespace stoathold
