/// @file
/// Assignment of batch items to nodes and collection of their results, for `ShardSystem`.
#include <algorithm>
#include <iterator>
#include <mutex>

#include "core/shard_system.h"

namespace stoathold {
namespace {

/// A shard has one outstanding read of an item run; after this time another one is sent.
constexpr Duration kItemRunReadTimeout = std::chrono::seconds(1);

}  // namespace

void ShardSystem::request_item_run(ShardRow& row, Offset offset, TimePoint now, Effects& effects) {
  if (now - row.item_run_read_sent_at < kItemRunReadTimeout &&
      row.item_run_read_sent_at != TimePoint{})
    return;
  row.item_run_read_sent_at = now;
  const std::uint64_t token = new_direct_read_token();
  row.item_run_reads[token] = offset;
  effects.push_back(ReadFromLog{shard_stream_name(row.replica.shard()), offset, 1, token});
}

void ShardSystem::on_pull(NodeId puller, const BatchPull& pull, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  BatchAssign assigned;
  for (const auto& row : rows_) {
    if (!row->owned || row->replica.queued_records() > knobs_.max_buffered_completions) continue;
    const auto places = pull.max_items - static_cast<std::uint32_t>(assigned.items.size());
    if (places == 0) break;
    std::optional<Offset> missing_run;
    auto items = row->scheduler.assign(puller, pull.services, places, now, missing_run);
    std::move(items.begin(), items.end(), std::back_inserter(assigned.items));
    if (missing_run) request_item_run(*row, *missing_run, now, effects);
  }
  if (!assigned.items.empty()) membership_.send(puller, std::move(assigned), effects);
}

void ShardSystem::handle_returned_item(ShardRow& row, const ReturnedItem& item,
                                       std::map<JobId, std::vector<ItemResult>>& completed,
                                       std::vector<ItemKey>& accepted,
                                       std::vector<ItemKey>& acknowledged) {
  if (!item.finished) {
    row.scheduler.return_item(item);
    acknowledged.push_back(item.key);
    return;
  }
  if (row.scheduler.mark_finishing(item.key, row.replica.state())) {
    completed[item.key.job].push_back({item.key.index, item.text, item.tokens});
    accepted.push_back(item.key);
    return;
  }
  const auto* job = row.replica.state().find_job(item.key.job);
  const bool needs_no_result = job == nullptr || job->finished() ||
                               item.key.index >= job->item_count ||
                               job->item_completed(item.key.index);
  if (needs_no_result) acknowledged.push_back(item.key);
}

void ShardSystem::on_return(NodeId sender, const BatchReturn& returned, TimePoint now,
                            Effects& effects) {
  const std::scoped_lock lock(mutex_);
  std::map<ShardId, std::vector<const ReturnedItem*>> by_shard;
  for (const auto& item : returned.items) {
    if (value_of(item.key.shard) < rows_.size()) by_shard[item.key.shard].push_back(&item);
  }
  std::vector<ItemKey> acknowledged;
  for (const auto& [shard, items] : by_shard) {
    auto& row = *rows_[value_of(shard)];
    if (!row.owned) continue;
    std::map<JobId, std::vector<ItemResult>> completed;
    std::vector<ItemKey> accepted;
    for (const auto* item : items) {
      handle_returned_item(row, *item, completed, accepted, acknowledged);
    }
    if (accepted.empty()) continue;
    std::vector<ShardRecord> records;
    for (auto& [job, results] : completed) {
      records.emplace_back(ItemsCompleted{job, std::move(results)});
    }
    const std::uint64_t operation = new_operation();
    row.operations[operation] = {{}, {}, sender, std::move(accepted)};
    row.replica.append(std::move(records), operation);
    row.replica.flush(now, effects);
  }
  if (!acknowledged.empty())
    membership_.send(sender, BatchReturnAck{std::move(acknowledged)}, effects);
}

void ShardSystem::on_renew(NodeId sender, const BatchRenew& renew, TimePoint now,
                           Effects& effects) {
  const std::scoped_lock lock(mutex_);
  std::map<ShardId, std::vector<ItemKey>> by_shard;
  for (const auto& key : renew.items) {
    if (value_of(key.shard) < rows_.size()) by_shard[key.shard].push_back(key);
  }
  std::vector<ItemKey> stop;
  for (const auto& [shard, items] : by_shard) {
    auto& row = *rows_[value_of(shard)];
    if (!row.owned) continue;
    const auto stale = row.scheduler.renew(sender, items, row.replica.state(), now);
    stop.insert(stop.end(), stale.begin(), stale.end());
  }
  if (!stop.empty()) membership_.send(sender, BatchStop{std::move(stop)}, effects);
}

}  // namespace stoathold
