#include "routing/batch_turns.h"

#include <algorithm>

namespace stoathold {
namespace {

/// A node whose turn it is has this long to take a runner's room before the next one may: slow
/// machines get their processor each 100 ms.
constexpr Duration kTurn = std::chrono::milliseconds(60);
/// Later ranks wait no longer than this: room should not stand idle if many nodes were lost.
constexpr std::size_t kMostRanks = 8;
/// A node that has said nothing for so long is out of its turn; digests come each second at least.
constexpr Duration kPeerLifetime = std::chrono::milliseconds(1500);
/// Orders are computed this often at most: digests come in hundreds a second.
constexpr Duration kOrderLifetime = std::chrono::milliseconds(10);
/// Runners beyond which those that were not looked at are forgotten.
constexpr std::size_t kMostRooms = 4096;
/// Room that was not looked at for so long counts as new.
constexpr Duration kRoomLifetime = std::chrono::milliseconds(250);

std::uint16_t& count_of(BatchWait& wait, ItemUrgency urgency) {
  return urgency == ItemUrgency::kInTime ? wait.in_time : wait.late;
}

std::uint16_t count_of(const BatchWait& wait, ItemUrgency urgency) {
  return urgency == ItemUrgency::kInTime ? wait.in_time : wait.late;
}

}  // namespace

void BatchTurns::begin_wait(std::uint64_t service, ItemUrgency urgency) {
  BatchWait& wait = own_[service];
  wait.service = service;
  if (++count_of(wait, urgency) == 1) ranks_.erase({service, urgency});
  if (listener_) listener_();
}

void BatchTurns::end_wait(std::uint64_t service, ItemUrgency urgency) {
  const auto found = own_.find(service);
  if (found == own_.end()) return;
  --count_of(found->second, urgency);
  if (found->second.in_time + found->second.late == 0) own_.erase(found);
  if (listener_) listener_();
}

std::vector<BatchWait> BatchTurns::report() const {
  std::vector<BatchWait> waits;
  for (const auto& [service, wait] : own_) waits.push_back(wait);
  return waits;
}

void BatchTurns::take(std::uint64_t node, const std::vector<BatchWait>& waits, TimePoint now) {
  if (waits.empty()) {
    peers_.erase(node);
  } else {
    if (!peers_.contains(node)) {
      std::erase_if(peers_,
                    [&](const auto& peer) { return now - peer.second.heard > kPeerLifetime; });
    }
    peers_[node] = {waits, now};
  }
}

std::vector<SlotContender> BatchTurns::contenders(const Kind& kind, TimePoint now) const {
  const auto& [service, urgency] = kind;
  std::vector<SlotContender> contenders;
  const auto own = own_.find(service);
  if (own != own_.end() && count_of(own->second, urgency) > 0) {
    contenders.push_back({self_, count_of(own->second, urgency)});
  }
  for (const auto& [node, peer] : peers_) {
    if (now - peer.heard > kPeerLifetime) continue;
    for (const BatchWait& wait : peer.waits) {
      const std::uint16_t items = count_of(wait, urgency);
      if (wait.service == service && items > 0) contenders.push_back({node, items});
    }
  }
  return contenders;
}

std::size_t BatchTurns::rank(const Kind& kind, std::uint64_t runner, TimePoint now) {
  Ranks& ranks = ranks_[kind];
  if (ranks.computed == TimePoint{} || now - ranks.computed > kOrderLifetime) {
    ranks = {now, 0, contenders(kind, now), {}};
    if (kind.second == ItemUrgency::kLate) {
      ranks.before = contenders({kind.first, ItemUrgency::kInTime}, now).size();
    }
  }
  const auto known = ranks.by_runner.find(runner);
  if (known != ranks.by_runner.end()) return known->second;
  const std::size_t rank = ranks.before + rank_for_slot(self_, ranks.contenders, runner);
  ranks.by_runner.emplace(runner, rank);
  return rank;
}

bool BatchTurns::may_take(std::uint64_t service, ItemUrgency urgency, std::uint64_t runner,
                          TimePoint now) {
  if (room_.size() > kMostRooms) {
    std::erase_if(room_, [&](const auto& room) { return now - room.second.seen > kRoomLifetime; });
  }
  Room& room = room_[runner];
  if (now - room.seen > kRoomLifetime) room.since = now;
  room.seen = now;
  const std::size_t ahead = std::min(rank({service, urgency}, runner, now), kMostRanks);
  return now - room.since >= kTurn * static_cast<Duration::rep>(ahead);
}

bool BatchTurns::is_first(std::uint64_t service, ItemUrgency urgency, std::uint64_t runner,
                          TimePoint now) {
  return rank({service, urgency}, runner, now) == 0;
}

}  // namespace stoathold
