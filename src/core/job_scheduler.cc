#include "core/job_scheduler.h"

#include <algorithm>

namespace stoathold {

std::map<NodeId, std::vector<ItemKey>> JobScheduler::refresh(const ShardState& state,
                                                             const WeightLookup& weight_of) {
  for (const auto& [id, job] : state.jobs()) {
    if (job.finished() || jobs_.contains(id)) continue;
    ScheduledJob scheduled;
    scheduled.specification = job.specification;
    scheduled.weight = weight_of(job.specification.priority_class);
    scheduled.item_count = job.item_count;
    scheduled.runs = job.runs;
    for (std::uint32_t index = 0; index < job.item_count; ++index) {
      if (!job.item_completed(index)) scheduled.waiting.push_back(index);
    }
    jobs_[id] = std::move(scheduled);
  }
  const auto is_inactive = [&](JobId id) {
    const auto* job = state.find_job(id);
    return job == nullptr || job->finished();
  };
  std::map<NodeId, std::vector<ItemKey>> cancelled_items;
  for (auto position = assignments_.begin(); position != assignments_.end();) {
    if (is_inactive(position->first.job)) {
      cancelled_items[position->second.node].push_back(position->first);
      position = assignments_.erase(position);
    } else {
      ++position;
    }
  }
  std::erase_if(jobs_, [&](const auto& item) { return is_inactive(item.first); });
  std::erase_if(progress_, [&](const auto& item) { return is_inactive(item.first.job); });
  std::erase_if(finishing_, [&](const ItemKey& key) {
    return is_inactive(key.job) || state.find_job(key.job)->item_completed(key.index);
  });
  return cancelled_items;
}

void JobScheduler::clear() {
  jobs_.clear();
  assignments_.clear();
  progress_.clear();
  finishing_.clear();
  loaded_runs_.clear();
  loaded_run_order_.clear();
}

std::vector<JobId> JobScheduler::jobs_by_priority(const std::vector<std::string>& services) const {
  std::vector<JobId> order;
  for (const auto& [id, job] : jobs_) {
    const bool is_served =
        std::find(services.begin(), services.end(), job.specification.service) != services.end();
    if (is_served && !job.waiting.empty()) order.push_back(id);
  }
  const auto precedes = [this](JobId left, JobId right) {
    const auto& a = jobs_.at(left);
    const auto& b = jobs_.at(right);
    if (a.weight != b.weight) return a.weight > b.weight;
    const auto deadline = [](const ScheduledJob& job) {
      const auto seconds = job.specification.deadline_unix_seconds;
      return seconds == 0 ? UINT64_MAX : seconds;
    };
    if (deadline(a) != deadline(b)) return deadline(a) < deadline(b);
    return left < right;
  };
  std::sort(order.begin(), order.end(), precedes);
  return order;
}

const BatchItem* JobScheduler::find_item(JobId job, const ScheduledJob& scheduled,
                                         std::uint32_t index,
                                         std::optional<Offset>& missing_run) const {
  const auto contains_index = [index](const ItemRun& run) {
    return index >= run.first_index && index - run.first_index < run.count;
  };
  const auto run = std::find_if(scheduled.runs.begin(), scheduled.runs.end(), contains_index);
  if (run == scheduled.runs.end()) return nullptr;
  const auto entry = loaded_runs_.find(run->offset);
  if (entry == loaded_runs_.end()) {
    missing_run = run->offset;
    return nullptr;
  }
  const auto key = mix_hashes(value_of(job), run->first_index);
  const auto submitted = entry->second.find(JobId{key});
  if (submitted == entry->second.end()) return nullptr;
  const std::uint32_t position = index - run->first_index;
  return position < submitted->second.items.size() ? &submitted->second.items[position] : nullptr;
}

std::vector<AssignedItem> JobScheduler::assign(NodeId requester,
                                               const std::vector<std::string>& services,
                                               std::uint32_t max_items, TimePoint now,
                                               std::optional<Offset>& missing_run) {
  std::vector<AssignedItem> assigned;
  for (const JobId id : jobs_by_priority(services)) {
    auto& job = jobs_.at(id);
    while (assigned.size() < max_items && !job.waiting.empty()) {
      const std::uint32_t index = job.waiting.front();
      const BatchItem* item = find_item(id, job, index, missing_run);
      if (item == nullptr) return assigned;
      job.waiting.pop_front();
      const ItemKey key{shard_, id, index};
      AssignedItem next{key, job.specification.service, *item, job.weight, 0, {}};
      if (const auto progress = progress_.find(key); progress != progress_.end()) {
        next.resume_tokens = progress->second.tokens;
        next.resume_text = progress->second.text;
      }
      assignments_[key] = {requester, now + knobs_.assignment_timeout};
      assigned.push_back(std::move(next));
    }
    if (assigned.size() >= max_items) break;
  }
  return assigned;
}

void JobScheduler::load_run(Offset offset, const ShardEntry& entry) {
  if (loaded_runs_.contains(offset)) return;
  auto& runs = loaded_runs_[offset];
  for (const auto& record : entry.records) {
    const auto* submitted = std::get_if<ItemsSubmitted>(&record);
    if (submitted == nullptr) continue;
    runs[JobId{mix_hashes(value_of(submitted->job), submitted->first_index)}] = *submitted;
  }
  loaded_run_order_.push_back(offset);
  while (loaded_run_order_.size() > knobs_.max_loaded_runs) {
    loaded_runs_.erase(loaded_run_order_.front());
    loaded_run_order_.pop_front();
  }
}

bool JobScheduler::mark_finishing(const ItemKey& key, const ShardState& state) {
  const auto* job = state.find_job(key.job);
  if (job == nullptr || job->finished() || key.index >= job->item_count) return false;
  if (job->item_completed(key.index) || finishing_.contains(key)) return false;
  finishing_.insert(key);
  const bool was_assigned = assignments_.erase(key) > 0;
  progress_.erase(key);
  const auto found = jobs_.find(key.job);
  if (!was_assigned && found != jobs_.end()) std::erase(found->second.waiting, key.index);
  return true;
}

void JobScheduler::requeue(const ItemKey& key) {
  const auto found = jobs_.find(key.job);
  if (found == jobs_.end() || finishing_.contains(key)) return;
  found->second.waiting.push_front(key.index);
}

void JobScheduler::return_item(const ReturnedItem& item) {
  if (assignments_.erase(item.key) == 0) return;
  auto& progress = progress_[item.key];
  if (item.tokens > progress.tokens) progress = {item.tokens, item.text};
  requeue(item.key);
}

std::vector<ItemKey> JobScheduler::renew(NodeId node, const std::vector<ItemKey>& items,
                                         const ShardState& state, TimePoint now) {
  std::vector<ItemKey> items_to_stop;
  for (const auto& key : items) {
    const auto* job = state.find_job(key.job);
    if (job == nullptr || job->finished() || job->item_completed(key.index)) {
      items_to_stop.push_back(key);
      continue;
    }
    const auto found = assignments_.find(key);
    if (found != assignments_.end() && found->second.node != node) continue;
    const bool was_waiting = found == assignments_.end();
    assignments_[key] = {node, now + knobs_.assignment_timeout};
    const auto scheduled = jobs_.find(key.job);
    if (was_waiting && scheduled != jobs_.end()) std::erase(scheduled->second.waiting, key.index);
  }
  return items_to_stop;
}

void JobScheduler::expire(TimePoint now, const std::function<bool(NodeId)>& is_alive) {
  std::vector<ItemKey> expired;
  for (const auto& [key, assignment] : assignments_) {
    if (now >= assignment.expires_at || !is_alive(assignment.node)) expired.push_back(key);
  }
  for (const auto& key : expired) {
    assignments_.erase(key);
    requeue(key);
  }
}

std::vector<PendingCount> JobScheduler::pending() const {
  std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> sums;
  for (const auto& [id, job] : jobs_) {
    if (job.waiting.empty()) continue;
    sums[{job.specification.service, job.weight}] += static_cast<std::uint32_t>(job.waiting.size());
  }
  std::vector<PendingCount> counts;
  for (const auto& [key, items] : sums) counts.push_back({key.first, key.second, items});
  const auto has_higher_weight = [](const auto& left, const auto& right) {
    return left.weight > right.weight;
  };
  std::stable_sort(counts.begin(), counts.end(), has_higher_weight);
  return counts;
}

}  // namespace stoathold
