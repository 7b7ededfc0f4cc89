#include "core/batch_runners.h"

#include <algorithm>
#include <cmath>
#include <mutex>

#include "core/policy_switches.h"
#include "core/rendezvous.h"

namespace stoathold {
namespace {

constexpr std::uint64_t kBatchStreamBit = 1ULL << 61U;
constexpr Duration kReturnRetryPeriod = std::chrono::milliseconds(500);
constexpr Duration kFailureBackoff = std::chrono::seconds(1);
constexpr std::uint32_t kMaxFailureBackoffFactor = 16;
constexpr std::uint32_t kMaxItemsPerPull = 64;

}  // namespace

BatchRunners::BatchRunners(NodeId self, std::uint64_t seed, const Knobs& knobs,
                           const Membership& membership, const ConfigurationSystem& configuration,
                           RunnerTable& runners)
    : self_(self),
      knobs_(knobs),
      membership_(membership),
      configuration_(configuration),
      runners_(runners),
      random_(seed) {}

std::optional<NodeId> BatchRunners::owner_of(RunnerId runner) const {
  const auto view = runners_.find(runner);
  if (!view) return std::nullopt;
  return rendezvous_owner(runner_subject(runner), membership_.ready_members_of(view->listed.zone));
}

void BatchRunners::refresh_ownership(TimePoint now) {
  const std::uint64_t tables = mix_hashes(membership_.version(), runners_.version());
  const std::uint64_t version = mix_hashes(tables, value_of(configuration_.next_offset()));
  if (version == ownership_version_) return;
  ownership_version_ = version;
  const auto members = membership_.ready_zone_members();
  std::set<RunnerId> owned;
  for (const RunnerId runner : runners_.zone_runners()) {
    if (rendezvous_owner(runner_subject(runner), members) == self_) owned.insert(runner);
  }
  std::erase_if(owned_runners_, [&](const auto& item) {
    return !owned.contains(item.first) && item.second.streams.empty();
  });
  for (const RunnerId runner : owned) {
    const auto view = runners_.find(runner);
    if (!view) continue;
    auto& row = owned_runners_[runner];
    row.service = view->listed.service;
    row.address = view->listed.address;
    row.report.runner = runner;
    row.leaving = view->leaving;
    const auto service = configuration_.service(row.service);
    row.slots = service ? service->specification.runner_slots : 0;
    if (row.next_limit_increase == TimePoint{}) row.next_limit_increase = now;
  }
}

std::uint32_t BatchRunners::online_stream_count(const OwnedRunner& row) const {
  const auto recently_started = static_cast<std::uint32_t>(row.recent_starts.size());
  return row.report.online_streams + row.report.queued + recently_started;
}

std::uint32_t BatchRunners::allowed_batch_streams(const OwnedRunner& row) const {
  if (row.leaving || draining_) return 0;
  if (!policy_switches().online_before_batch) return row.slots;
  const auto reserve = static_cast<std::uint32_t>(std::lround(row.reserve));
  const std::uint32_t unavailable_slots = online_stream_count(row) + reserve;
  const std::uint32_t available_slots =
      row.slots > unavailable_slots ? row.slots - unavailable_slots : 0;
  return std::min(available_slots, row.limit);
}

void BatchRunners::update_reserve(OwnedRunner& row, TimePoint now) const {
  const double elapsed = to_seconds(now - row.reserve_updated);
  const double decay = std::exp2(-elapsed / to_seconds(knobs_.reserve_half_life));
  row.reserve_updated = now;
  const std::uint32_t online = online_stream_count(row);
  row.previous_online = std::min(row.previous_online, online);
  const double online_increase = static_cast<double>(online - row.previous_online);
  row.reserve = std::max(row.reserve * decay, std::min(online_increase, row.slots / 2.0));
  row.previous_online = online;
}

void BatchRunners::preempt_excess(OwnedRunner& row, Effects& effects) {
  const std::uint32_t max_streams = allowed_batch_streams(row);
  std::uint32_t running = 0;
  for (const StreamId stream : row.streams) running += batch_streams_.at(stream).cancelled ? 0 : 1;
  for (auto position = row.streams.rbegin();
       running > max_streams && position != row.streams.rend(); ++position) {
    auto& stream = batch_streams_.at(*position);
    if (stream.cancelled) continue;
    stream.cancelled = true;
    ++counters_.preempted;
    effects.push_back(CancelStream{*position});
    --running;
  }
}

void BatchRunners::increase_limit(OwnedRunner& row, TimePoint now) const {
  if (now < row.next_limit_increase) return;
  row.next_limit_increase = now + knobs_.batch_limit_increase_period;
  const std::uint32_t ceiling = std::max<std::uint32_t>(row.slots, 1);
  row.limit = std::min(row.limit + knobs_.batch_limit_increment, ceiling);
}

void BatchRunners::tick(const std::vector<PendingWork>& pending, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  if (now >= next_pull_) refresh_ownership(now);
  for (auto& [id, row] : owned_runners_) {
    while (!row.recent_starts.empty() &&
           now - row.recent_starts.front() > knobs_.online_notice_window) {
      row.recent_starts.pop_front();
    }
    update_reserve(row, now);
    increase_limit(row, now);
    preempt_excess(row, effects);
  }
  dispatch_queued_items(now, effects);
  if (now >= next_pull_) {
    next_pull_ = now + knobs_.pull_period;
    if (!draining_) pull_work(pending, now, effects);
  }
  if (now >= next_return_) send_returns(now, effects);
  renew(now, effects);
}

void BatchRunners::pull_work(const std::vector<PendingWork>& pending, TimePoint now,
                             Effects& effects) {
  std::map<std::string, std::uint32_t> free_slots;
  for (const auto& [id, row] : owned_runners_) {
    if (now < row.backoff_until) continue;
    const std::uint32_t available_slots = allowed_batch_streams(row);
    const auto used = static_cast<std::uint32_t>(row.streams.size());
    if (available_slots > used) free_slots[row.service] += available_slots - used;
  }
  for (const auto& item : queued_items_) {
    auto& slots = free_slots[item.service];
    slots = slots > 0 ? slots - 1 : 0;
  }
  for (const auto& [service, slots] : free_slots) {
    if (slots == 0) continue;
    const PendingWork* best = nullptr;
    std::uint64_t ties = 0;
    for (const auto& work : pending) {
      if (work.service != service || work.items == 0) continue;
      if (best != nullptr && work.weight < best->weight) continue;
      if (best != nullptr && work.weight == best->weight) {
        if (random_.below(++ties) != 0) continue;
      } else {
        ties = 1;
      }
      best = &work;
    }
    if (best == nullptr) continue;
    BatchPull request;
    request.services = {service};
    request.max_items = std::min(slots, kMaxItemsPerPull);
    membership_.send(best->owner, std::move(request), effects);
  }
}

void BatchRunners::on_assign(NodeId /*owner*/, const BatchAssign& assigned, TimePoint now,
                             Effects& effects) {
  const std::scoped_lock lock(mutex_);
  for (const auto& item : assigned.items) {
    if (!tracked_items_.insert(item.key).second) continue;
    queued_items_.push_back(item);
  }
  dispatch_queued_items(now, effects);
}

void BatchRunners::dispatch_queued_items(TimePoint now, Effects& effects) {
  std::deque<AssignedItem> unplaced_items;
  for (auto& item : queued_items_) {
    OwnedRunner* best = nullptr;
    RunnerId best_id{};
    std::uint32_t best_free_slots = 0;
    for (auto& [id, row] : owned_runners_) {
      const auto used = static_cast<std::uint32_t>(row.streams.size());
      const std::uint32_t available_slots = allowed_batch_streams(row);
      if (row.service != item.service || now < row.backoff_until || available_slots <= used)
        continue;
      if (best != nullptr && available_slots - used <= best_free_slots) continue;
      best = &row;
      best_id = id;
      best_free_slots = available_slots - used;
    }
    if (best == nullptr) {
      unplaced_items.push_back(std::move(item));
      continue;
    }
    OpenStream open;
    open.stream = StreamId{kBatchStreamBit | ++last_stream_};
    open.runner = best_id;
    open.address = best->address;
    open.stream_class = StreamClass::kBatch;
    open.service = item.service;
    open.prompt = item.item.prompt;
    open.max_tokens = item.item.max_tokens;
    open.resume_tokens = item.resume_tokens;
    open.resume_text = item.resume_text;
    open.first_token_timeout = std::chrono::seconds(30);
    best->streams.push_back(open.stream);
    batch_streams_[open.stream] = {best_id, std::move(item), false};
    ++counters_.started;
    effects.push_back(std::move(open));
  }
  queued_items_.clear();
  for (auto& item : unplaced_items) {
    const auto serves_service = [&](const auto& row) { return row.second.service == item.service; };
    const bool is_served_here =
        std::any_of(owned_runners_.begin(), owned_runners_.end(), serves_service);
    if (is_served_here && !draining_ && queued_items_.size() < kMaxItemsPerPull) {
      queued_items_.push_back(std::move(item));
    } else {
      return_unfinished(item, item.resume_tokens, item.resume_text);
    }
  }
}

void BatchRunners::return_unfinished(const AssignedItem& item, std::uint32_t tokens,
                                     std::string text) {
  pending_returns_[item.key] = {item.key, false, std::move(text), tokens};
  next_return_ = TimePoint{};
}

bool BatchRunners::on_stream_ended(const StreamEnd& end, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  auto node = batch_streams_.extract(end.stream);
  if (node.empty()) return (value_of(end.stream) & kBatchStreamBit) != 0;
  auto& stream = node.mapped();
  const auto found = owned_runners_.find(stream.runner);
  if (found != owned_runners_.end()) {
    auto& row = found->second;
    std::erase(row.streams, end.stream);
    const bool failed =
        end.outcome != StreamOutcome::kCompleted && end.outcome != StreamOutcome::kCancelled;
    row.failures = failed ? std::min(row.failures + 1, kMaxFailureBackoffFactor) : 0;
    if (failed) row.backoff_until = now + kFailureBackoff * row.failures;
  }
  if (!tracked_items_.contains(stream.item.key)) return true;
  if (end.outcome == StreamOutcome::kCompleted) {
    ++counters_.finished;
    pending_returns_[stream.item.key] = {stream.item.key, true, end.text, end.tokens};
  } else {
    counters_.preserved_tokens += end.tokens;
    return_unfinished(stream.item, end.tokens, end.text);
  }
  next_return_ = now;
  dispatch_queued_items(now, effects);
  send_returns(now, effects);
  return true;
}

void BatchRunners::send_returns(TimePoint now, Effects& effects) {
  if (pending_returns_.empty()) return;
  next_return_ = now + kReturnRetryPeriod;
  const auto members = membership_.shard_members();
  std::map<NodeId, BatchReturn> by_owner;
  for (const auto& [key, item] : pending_returns_) {
    if (const auto owner = rendezvous_owner(shard_subject(key.shard), members)) {
      by_owner[*owner].items.push_back(item);
    }
  }
  for (auto& [owner, message] : by_owner) membership_.send(owner, std::move(message), effects);
}

void BatchRunners::on_return_ack(const BatchReturnAck& ack) {
  const std::scoped_lock lock(mutex_);
  for (const auto& key : ack.items) {
    if (pending_returns_.erase(key) > 0) tracked_items_.erase(key);
  }
}

void BatchRunners::on_stop(const BatchStop& stop, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  const std::set<ItemKey> stopped(stop.items.begin(), stop.items.end());
  for (const auto& key : stopped) {
    tracked_items_.erase(key);
    pending_returns_.erase(key);
  }
  std::erase_if(queued_items_, [&](const auto& item) { return stopped.contains(item.key); });
  for (auto& [id, row] : owned_runners_) {
    for (const StreamId stream : row.streams) {
      auto& entry = batch_streams_.at(stream);
      if (entry.cancelled || !stopped.contains(entry.item.key)) continue;
      entry.cancelled = true;
      effects.push_back(CancelStream{stream});
    }
  }
}

void BatchRunners::renew(TimePoint now, Effects& effects) {
  if (now < next_renew_ || tracked_items_.empty()) return;
  next_renew_ = now + knobs_.assignment_renew_period;
  const auto members = membership_.shard_members();
  std::map<NodeId, BatchRenew> by_owner;
  for (const auto& key : tracked_items_) {
    if (pending_returns_.contains(key)) continue;
    if (const auto owner = rendezvous_owner(shard_subject(key.shard), members)) {
      by_owner[*owner].items.push_back(key);
    }
  }
  for (auto& [owner, message] : by_owner) membership_.send(owner, std::move(message), effects);
}

void BatchRunners::on_load_report(const RunnerLoad& load, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  const auto found = owned_runners_.find(load.runner);
  if (found == owned_runners_.end()) return;
  auto& row = found->second;
  row.report = load;
  row.leaving = row.leaving || load.leaving != 0;
  update_reserve(row, now);
  preempt_excess(row, effects);
}

void BatchRunners::on_online_notice(const OnlineNotice& notice, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  const auto found = owned_runners_.find(notice.runner);
  if (found == owned_runners_.end()) return;
  auto& row = found->second;
  row.recent_starts.push_back(now);
  update_reserve(row, now);
  preempt_excess(row, effects);
}

void BatchRunners::set_draining(Effects& effects) {
  const std::scoped_lock lock(mutex_);
  draining_ = true;
  for (auto& item : queued_items_) return_unfinished(item, item.resume_tokens, item.resume_text);
  queued_items_.clear();
  for (auto& [id, row] : owned_runners_) preempt_excess(row, effects);
}

bool BatchRunners::idle() const {
  const std::scoped_lock lock(mutex_);
  return batch_streams_.empty() && pending_returns_.empty() && queued_items_.empty();
}

std::vector<RunnerLoad> BatchRunners::owned_loads() const {
  const std::scoped_lock lock(mutex_);
  std::vector<RunnerLoad> loads;
  for (const auto& [id, row] : owned_runners_) {
    RunnerLoad load = row.report;
    load.batch_streams = static_cast<std::uint32_t>(row.streams.size());
    load.leaving = row.leaving ? 1 : 0;
    loads.push_back(load);
  }
  return loads;
}

std::vector<BatchRunnerStatistics> BatchRunners::statistics() const {
  const std::scoped_lock lock(mutex_);
  std::vector<BatchRunnerStatistics> result;
  for (const auto& [id, row] : owned_runners_) {
    result.push_back({id, row.slots, online_stream_count(row),
                      static_cast<std::uint32_t>(row.streams.size()), row.limit, row.reserve});
  }
  return result;
}

BatchCounters BatchRunners::counters() const {
  const std::scoped_lock lock(mutex_);
  return counters_;
}

}  // namespace stoathold
