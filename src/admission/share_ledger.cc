#include "admission/share_ledger.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Tenants and services that are distinguished at most; further ones are served as if they had used
/// nothing, which costs the others little: a flood comes from one that is known.
constexpr std::size_t kMostShares = 1024;
/// Use below this, in seconds of slot time, is none: a hundredth of a short request.
constexpr double kNoUse = 0.005;
/// A node of which nothing was heard for so long is gone; as for limits on tenants.
constexpr Duration kGoneAfter = std::chrono::seconds(20);
/// A counter below the one known is taken for late until it has stayed so for this time, and then
/// for that of a process that began again.
constexpr Duration kLatestReport = std::chrono::seconds(2);
/// Most that one report may add: more than all slots of a zone give between two digests. A false
/// counter costs its tenant no more.
constexpr std::uint32_t kMostAdded = 600'000;
/// Changes are reported for so long at most.
constexpr Duration kChangesKept = std::chrono::seconds(7);

double milliseconds_of(Duration duration) {
  return to_seconds(duration) * 1000;
}

}  // namespace

void ShareLedger::set_weights(std::unordered_map<std::uint64_t, double> weights) {
  weights_ = std::move(weights);
}

double ShareLedger::weight_of(std::uint64_t tenant) const {
  const auto found = weights_.find(tenant);
  return found == weights_.end() ? 1 : found->second;
}

ShareLedger::Share* ShareLedger::share_of(const ShareKey& key, TimePoint now) {
  auto found = shares_.find(key);
  if (found == shares_.end()) {
    if (shares_.size() >= kMostShares) return nullptr;
    found = shares_.emplace(key, Share{}).first;
  }
  found->second.changed = now;
  return &found->second;
}

void ShareLedger::wait(const ShareKey& key, Duration slot_time, TimePoint now) {
  if (Share* share = share_of(key, now)) share->waiting += to_seconds(slot_time);
}

void ShareLedger::end_wait(const ShareKey& key, Duration slot_time) {
  const auto found = shares_.find(key);
  if (found == shares_.end()) return;
  double& waiting = found->second.waiting;
  waiting = std::max(0.0, waiting - to_seconds(slot_time));
}

void ShareLedger::use(const ShareKey& key, Duration slot_time, TimePoint now) {
  Share* share = share_of(key, now);
  if (share == nullptr) return;
  share->lately.add(to_seconds(slot_time), now);
  share->given_ms += milliseconds_of(slot_time);
  while (!own_changes_.empty() && now - own_changes_.front().time > kChangesKept) {
    own_changes_.pop_front();
  }
  own_changes_.push_back({now, key});
}

void ShareLedger::take(std::uint64_t node, const ShareUse& report, TimePoint now) {
  const auto [position, new_node] = nodes_.try_emplace(node);
  Node& known = position->second;
  known.heard = now;
  const ShareKey key{report.service, report.tenant};
  if (known.counters.size() >= kMostShares && !known.counters.contains(key)) return;
  const auto [counter, first] = known.counters.try_emplace(key);
  const std::uint32_t before = counter->second.slot_ms;
  const auto difference = static_cast<std::int32_t>(report.slot_ms - before);
  // What a node that was unknown brings along tells of the time before it was heard.
  const bool past = first && new_node;
  const bool late = difference < 0 && now - counter->second.risen < kLatestReport;
  if (late && !first) return;
  counter->second = {report.slot_ms, now};
  if (past || difference <= 0) return;
  const std::uint32_t added = std::min(static_cast<std::uint32_t>(difference), kMostAdded);
  if (Share* share = share_of(key, now)) share->lately.add(added / 1000.0, now);
}

std::vector<ShareUse> ShareLedger::changes(Duration age, std::size_t most, TimePoint now) const {
  std::vector<ShareUse> result;
  for (auto change = own_changes_.rbegin(); change != own_changes_.rend(); ++change) {
    if (now - change->time > age || result.size() >= most) break;
    const ShareKey key = change->key;
    const bool known = std::any_of(result.begin(), result.end(), [&](const ShareUse& use) {
      return use.service == key.service && use.tenant == key.tenant;
    });
    const auto share = shares_.find(key);
    if (known || share == shares_.end()) continue;
    const auto given = static_cast<std::uint64_t>(share->second.given_ms);
    result.push_back({key.service, key.tenant, static_cast<std::uint32_t>(given)});
  }
  return result;
}

double ShareLedger::seconds(const ShareKey& key, TimePoint now) const {
  const auto found = shares_.find(key);
  if (found == shares_.end()) return 0;
  return found->second.lately.value(now) + found->second.waiting;
}

double ShareLedger::waiting_seconds(const ShareKey& key) const {
  const auto found = shares_.find(key);
  return found == shares_.end() ? 0 : found->second.waiting;
}

ShareLedger::Total ShareLedger::total(std::uint64_t service, TimePoint now) const {
  Total total;
  for (const auto& [key, share] : shares_) {
    if (key.service != service) continue;
    const double seconds = share.lately.value(now) + share.waiting;
    if (seconds < kNoUse) continue;
    total.seconds += seconds;
    total.weight += weight_of(key.tenant);
  }
  return total;
}

void ShareLedger::forget(TimePoint now) {
  std::erase_if(nodes_, [&](const auto& entry) { return now - entry.second.heard > kGoneAfter; });
  std::erase_if(shares_, [&](const auto& entry) {
    const Share& share = entry.second;
    const bool idle = share.waiting <= 0 && share.lately.value(now) < kNoUse;
    // Its counter begins at 0 again; by then the others take that for a new beginning.
    return idle && now - share.changed > kGoneAfter;
  });
}

}  // namespace stoathold
