#include "routing/peer_use_table.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Time for which a report of waiting online requests is valid. Reports are repeated while requests
/// wait.
constexpr Duration kDemandLifetime = std::chrono::milliseconds(250);
/// Time for which a reported node counts as a contender for free slots. A node with waiting
/// requests repeats its report at least every 20 ms.
constexpr Duration kContenderLifetime = std::chrono::milliseconds(60);
/// A digest expires after this time unless its sender replaces it.
constexpr Duration kDigestLifetime = std::chrono::milliseconds(1500);
/// The same for a digest without uses. Heartbeats of nodes that use no runner are rare in a
/// large zone; what is kept of them is their sequence number.
constexpr Duration kIdleDigestLifetime = std::chrono::seconds(15);

}  // namespace

PeerUseTable::PeerUseTable(RunnerRegistry& registry, std::string zone, std::uint64_t self)
    : registry_(registry), zone_(std::move(zone)), zone_hash_(stable_hash(zone_)), self_(self) {}

bool PeerUseTable::is_newer(const LoadDigest& digest) const {
  const auto found = states_.find(digest.sender);
  return found == states_.end() || digest.sequence > found->second.sequence;
}

bool PeerUseTable::apply(LoadDigest digest, const Endpoint& endpoint,
                         const std::vector<ServiceDemand>& own_demand, TimePoint now) {
  const std::uint64_t sender = digest.sender;
  PeerState& state = states_[sender];
  PeerState next{digest.sequence,         digest.zone, now, endpoint, std::move(digest.uses),
                 std::move(digest.demand)};
  const bool sums_current = counted_revision_ == registry_.revision();
  const bool use_reduced = has_reduced_use(state, next);
  if (use_reduced && next.zone == zone_hash_) {
    arbitrate_free_slots(sender, state, next, own_demand, now);
  }
  const bool demand = !state.demand.empty() || !next.demand.empty();
  if (sums_current) add_to_sums(state, Direction::kRemove);
  state = std::move(next);
  if (sums_current) {
    add_to_sums(state, Direction::kAdd);
  } else {
    recount_all();
  }
  record_responses(state, now);
  if (demand) publish_demand(now);
  return use_reduced || demand;
}

/// Whether the node has fewer requests at any runner than before.
bool PeerUseTable::has_reduced_use(const PeerState& before, const PeerState& after) const {
  return std::any_of(before.uses.begin(), before.uses.end(), [&](const RunnerUse& old_use) {
    const auto same = std::find_if(after.uses.begin(), after.uses.end(), [&](const RunnerUse& use) {
      return use.runner == old_use.runner;
    });
    return same == after.uses.end() || same->in_flight < old_use.in_flight;
  });
}

std::vector<SlotContender> PeerUseTable::contenders_for(
    const std::string& service, const std::vector<ServiceDemand>& own_demand, TimePoint now) const {
  const std::uint64_t hash = stable_hash(service);
  std::vector<SlotContender> contenders;
  std::vector<SlotContender> yielding;
  const auto add = [&](std::uint64_t node, const std::vector<ServiceDemand>& demands) {
    for (const auto& demand : demands) {
      if (demand.service != hash) continue;
      if (demand.waiting > 0) contenders.push_back({node, demand.waiting});
      if (demand.yielding > 0) yielding.push_back({node, demand.yielding});
    }
  };
  add(self_, own_demand);
  for (const auto& [node, state] : states_) {
    const bool fresh = now - state.received <= kContenderLifetime;
    if (fresh && state.zone == zone_hash_) add(node, state.demand);
  }
  return contenders.empty() ? yielding : contenders;
}

/// Arbitrates the slots that the sender has released: reserves each of them for some time for the
/// nodes with waiting requests that rank before this node.
void PeerUseTable::arbitrate_free_slots(std::uint64_t sender, const PeerState& before,
                                        const PeerState& after,
                                        const std::vector<ServiceDemand>& own_demand,
                                        TimePoint now) {
  // Without demand there are no contenders, which are searched for among all nodes.
  if (!demand_published_ && own_demand.empty()) return;
  for (const auto& old_use : before.uses) {
    const auto same = std::find_if(after.uses.begin(), after.uses.end(), [&](const RunnerUse& use) {
      return use.runner == old_use.runner;
    });
    const std::uint32_t left = same == after.uses.end() ? 0 : same->in_flight;
    if (left >= old_use.in_flight) continue;
    Runner* runner = registry_.find_by_hash(old_use.runner);
    if (runner == nullptr) continue;
    const auto contenders = contenders_for(runner->record().service, own_demand, now);
    if (contenders.empty()) continue;
    for (std::uint32_t freed = left; freed < old_use.in_flight; ++freed) {
      const std::uint64_t slot =
          mix_hashes(mix_hashes(sender, after.sequence), mix_hashes(old_use.runner, freed));
      const Duration wait = slot_wait(rank_for_slot(self_, contenders, slot));
      if (wait.count() > 0) runner->reserve_for_others(now + wait, now);
    }
  }
}

void PeerUseTable::add_to_sums(const PeerState& state, Direction direction) {
  const int sign = direction == Direction::kAdd ? 1 : -1;
  for (const auto& use : state.uses) {
    Runner* runner = registry_.find_by_hash(use.runner);
    if (runner == nullptr) continue;
    counted_runners_.insert(use.runner);
    runner->change_peer_use(sign * static_cast<std::int64_t>(use.in_flight),
                            sign * static_cast<std::int64_t>(use.backlog_tokens),
                            sign * static_cast<std::int64_t>(use.batch_in_flight));
  }
}

/// Recomputes all sums after runners were added or removed, since earlier digests may refer to
/// them.
void PeerUseTable::recount_all() {
  for (const std::uint64_t counted : counted_runners_) {
    Runner* runner = registry_.find_by_hash(counted);
    if (runner != nullptr) runner->set_peer_use(0, 0);
  }
  counted_runners_.clear();
  for (const auto& [sender, state] : states_) add_to_sums(state, Direction::kAdd);
  counted_revision_ = registry_.revision();
}

void PeerUseTable::record_responses(const PeerState& state, TimePoint now) {
  for (const auto& use : state.uses) {
    if (use.response_age_ms == std::numeric_limits<std::uint16_t>::max()) continue;
    Runner* runner = registry_.find_by_hash(use.runner);
    const TimePoint responded_at = now - std::chrono::milliseconds(use.response_age_ms);
    if (runner == nullptr) continue;
    runner->record_peer_receive(responded_at,
                                responded_at - std::chrono::milliseconds(use.live_ms));
  }
}

void PeerUseTable::publish_demand(TimePoint now) {
  std::set<std::uint64_t> services;
  std::set<std::uint64_t> urgent;
  std::set<std::uint64_t> yielding;
  std::map<std::uint64_t, std::uint32_t> waiting;
  for (const auto& [sender, state] : states_) {
    if (state.zone != zone_hash_ || now - state.received > kDemandLifetime) continue;
    const bool fresh = now - state.received <= kContenderLifetime;
    for (const auto& demand : state.demand) {
      services.insert(demand.service);
      if (!fresh) continue;
      if (demand.waiting > 0) urgent.insert(demand.service);
      if (demand.yielding > 0) yielding.insert(demand.service);
      waiting[demand.service] += demand.waiting + demand.yielding;
    }
  }
  demand_published_ = !services.empty();
  registry_.set_peer_demand(std::move(services));
  registry_.set_peer_urgent_demand(std::move(urgent));
  registry_.set_peer_yielding_demand(std::move(yielding));
  registry_.set_peers_waiting(std::move(waiting));
}

bool PeerUseTable::expire(TimePoint now) {
  const std::size_t expired = std::erase_if(states_, [now](const auto& entry) {
    const PeerState& state = entry.second;
    return now - state.received > (state.uses.empty() ? kIdleDigestLifetime : kDigestLifetime);
  });
  if (expired > 0) recount_all();
  const bool demand = demand_published_;
  if (demand) publish_demand(now);
  return expired > 0 || demand;
}

/// Whether a use includes batch items at a runner that the request specifies.
bool PeerUseTable::runs_batch_at(const RunnerUse& use, const YieldRequest& request) const {
  if (use.batch_in_flight == 0) return false;
  if (request.runner != 0 && request.runner != use.runner) return false;
  const Runner* runner = registry_.find_by_hash(use.runner);
  return runner != nullptr && runner->record().zone == request.zone &&
         runner->record().service == request.service;
}

std::uint32_t PeerUseTable::batch_items_at(const PeerState& state,
                                           const YieldRequest& request) const {
  std::uint32_t count = 0;
  for (const auto& use : state.uses) {
    if (runs_batch_at(use, request)) count += use.batch_in_flight;
  }
  return count;
}

/// Counts one batch item less: its slot is considered free until the node's next digest.
void PeerUseTable::discount_batch_item(RunnerUse& use) {
  --use.batch_in_flight;
  if (use.in_flight == 0) return;
  --use.in_flight;
  Runner* runner = registry_.find_by_hash(use.runner);
  const bool counted = counted_revision_ == registry_.revision();
  if (runner != nullptr && counted) runner->change_peer_use(-1, 0, -1);
}

std::optional<PeerUseTable::Endpoint> PeerUseTable::reserve_batch_slot(
    const YieldRequest& request) {
  PeerState* busiest = nullptr;
  std::uint32_t most_items = 0;
  for (auto& [sender, state] : states_) {
    const std::uint32_t items = batch_items_at(state, request);
    if (items <= most_items) continue;
    busiest = &state;
    most_items = items;
  }
  if (busiest == nullptr) return std::nullopt;
  const auto use =
      std::find_if(busiest->uses.begin(), busiest->uses.end(),
                   [&](const RunnerUse& entry) { return runs_batch_at(entry, request); });
  if (use != busiest->uses.end()) discount_batch_item(*use);
  return busiest->endpoint;
}

}  // namespace stoathold
