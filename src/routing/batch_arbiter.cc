#include "routing/batch_arbiter.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Time that each rank has to use a runner's free slots before the next rank may. It must cover the
/// scheduling delay of slow machines, which get their processor every 100 ms.
constexpr Duration kRankDelay = std::chrono::milliseconds(60);
/// Cap on the rank, so that slots do not stay idle if many nodes have failed.
constexpr std::size_t kMaxRank = 8;
/// Age at which a peer's report is ignored; digests are sent at least every second.
constexpr Duration kPeerLifetime = std::chrono::milliseconds(1500);
/// Minimum interval between computations of the order; digests arrive at hundreds per second.
constexpr Duration kMinRankInterval = std::chrono::milliseconds(10);
/// Number of runners beyond which entries older than `kFreeSlotLifetime` are dropped.
constexpr std::size_t kMaxFreeSlotEntries = 4096;
/// Time without a look at a runner after which its free slots count as newly free.
constexpr Duration kFreeSlotLifetime = std::chrono::milliseconds(250);

std::uint16_t& count_of(BatchQueueDepth& wait, ItemUrgency urgency) {
  return urgency == ItemUrgency::kInTime ? wait.in_time : wait.late;
}

std::uint16_t count_of(const BatchQueueDepth& wait, ItemUrgency urgency) {
  return urgency == ItemUrgency::kInTime ? wait.in_time : wait.late;
}

}  // namespace

void BatchArbiter::begin_wait(std::uint64_t service, ItemUrgency urgency) {
  BatchQueueDepth& wait = own_[service];
  wait.service = service;
  if (++count_of(wait, urgency) == 1) ranks_.erase({service, urgency});
  if (listener_) listener_();
}

void BatchArbiter::end_wait(std::uint64_t service, ItemUrgency urgency) {
  const auto found = own_.find(service);
  if (found == own_.end()) return;
  --count_of(found->second, urgency);
  if (found->second.in_time + found->second.late == 0) own_.erase(found);
  if (listener_) listener_();
}

std::vector<BatchQueueDepth> BatchArbiter::report() const {
  std::vector<BatchQueueDepth> waits;
  for (const auto& [service, wait] : own_) waits.push_back(wait);
  return waits;
}

void BatchArbiter::apply_report(std::uint64_t node, const std::vector<BatchQueueDepth>& waits,
                                TimePoint now) {
  if (waits.empty()) {
    peers_.erase(node);
  } else {
    if (!peers_.contains(node)) {
      std::erase_if(
          peers_, [&](const auto& peer) { return now - peer.second.received_at > kPeerLifetime; });
    }
    peers_[node] = {waits, now};
  }
}

std::vector<SlotContender> BatchArbiter::contenders(const QueueKey& key, TimePoint now) const {
  const auto& [service, urgency] = key;
  std::vector<SlotContender> contenders;
  const auto own = own_.find(service);
  if (own != own_.end() && count_of(own->second, urgency) > 0) {
    contenders.push_back({self_, count_of(own->second, urgency)});
  }
  for (const auto& [node, peer] : peers_) {
    if (now - peer.received_at > kPeerLifetime) continue;
    for (const BatchQueueDepth& wait : peer.waits) {
      const std::uint16_t items = count_of(wait, urgency);
      if (wait.service == service && items > 0) contenders.push_back({node, items});
    }
  }
  return contenders;
}

std::size_t BatchArbiter::rank(const QueueKey& key, std::uint64_t runner, TimePoint now) {
  Ranks& ranks = ranks_[key];
  if (ranks.computed == TimePoint{} || now - ranks.computed > kMinRankInterval) {
    ranks = {now, 0, contenders(key, now), {}};
    if (key.second == ItemUrgency::kLate) {
      ranks.before = contenders({key.first, ItemUrgency::kInTime}, now).size();
    }
  }
  const auto known = ranks.by_runner.find(runner);
  if (known != ranks.by_runner.end()) return known->second;
  const std::size_t rank = ranks.before + rank_for_slot(self_, ranks.contenders, runner);
  ranks.by_runner.emplace(runner, rank);
  return rank;
}

bool BatchArbiter::may_use_runner(std::uint64_t service, ItemUrgency urgency, std::uint64_t runner,
                                  TimePoint now) {
  if (free_slots_.size() > kMaxFreeSlotEntries) {
    std::erase_if(free_slots_, [&](const auto& free_slots) {
      return now - free_slots.second.seen > kFreeSlotLifetime;
    });
  }
  FreeSlots& free_slots = free_slots_[runner];
  if (now - free_slots.seen > kFreeSlotLifetime) free_slots.since = now;
  free_slots.seen = now;
  const std::size_t ahead = std::min(rank({service, urgency}, runner, now), kMaxRank);
  return now - free_slots.since >= kRankDelay * static_cast<Duration::rep>(ahead);
}

bool BatchArbiter::is_first_in_order(std::uint64_t service, ItemUrgency urgency,
                                     std::uint64_t runner, TimePoint now) {
  return rank({service, urgency}, runner, now) == 0;
}

}  // namespace stoathold
