#include "admission/slot_time_ledger.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Maximum number of tracked pairs of tenant and service. Further ones are treated as if they had
/// used nothing, which costs the others little, because a tenant that floods is already tracked.
constexpr std::size_t kMaxShares = 1024;
/// Use below this, in seconds of slot time, counts as none: a hundredth of a short request.
constexpr double kNegligibleUse = 0.005;
/// A node that has been silent for this long is considered gone; the same as for the rate limits of
/// tenants.
constexpr Duration kGoneAfter = std::chrono::seconds(20);
/// A counter below the known value is treated as an out-of-order report for this long, and after
/// that as the counter of a restarted process.
constexpr Duration kMaxReorderDelay = std::chrono::seconds(2);
/// Maximum increase from one report: more than all slots of a zone provide between two digests. It
/// bounds what a corrupt counter costs a tenant.
constexpr std::uint32_t kMaxIncreaseMs = 600'000;
/// Maximum time for which changes are reported.
constexpr Duration kChangeRetention = std::chrono::seconds(7);

double milliseconds_of(Duration duration) {
  return to_seconds(duration) * 1000;
}

}  // namespace

void SlotTimeLedger::set_weights(std::unordered_map<std::uint64_t, double> weights) {
  weights_ = std::move(weights);
}

double SlotTimeLedger::weight_of(std::uint64_t tenant) const {
  const auto found = weights_.find(tenant);
  return found == weights_.end() ? 1 : found->second;
}

SlotTimeLedger::Share* SlotTimeLedger::share_of(const TenantServiceKey& key, TimePoint now) {
  auto found = shares_.find(key);
  if (found == shares_.end()) {
    if (shares_.size() >= kMaxShares) return nullptr;
    found = shares_.emplace(key, Share{}).first;
  }
  found->second.changed = now;
  return &found->second;
}

void SlotTimeLedger::add_waiting(const TenantServiceKey& key, Duration slot_time, TimePoint now) {
  if (Share* share = share_of(key, now)) share->waiting += to_seconds(slot_time);
}

void SlotTimeLedger::remove_waiting(const TenantServiceKey& key, Duration slot_time) {
  const auto found = shares_.find(key);
  if (found == shares_.end()) return;
  double& waiting = found->second.waiting;
  waiting = std::max(0.0, waiting - to_seconds(slot_time));
}

void SlotTimeLedger::charge(const TenantServiceKey& key, Duration slot_time, TimePoint now) {
  Share* share = share_of(key, now);
  if (share == nullptr) return;
  share->recent.add(to_seconds(slot_time), now);
  share->granted_ms += milliseconds_of(slot_time);
  while (!own_changes_.empty() && now - own_changes_.front().time > kChangeRetention) {
    own_changes_.pop_front();
  }
  own_changes_.push_back({now, key});
}

void SlotTimeLedger::apply_report(std::uint64_t node, const SlotTimeReport& report, TimePoint now) {
  const auto [position, new_node] = nodes_.try_emplace(node);
  Node& known = position->second;
  known.last_receive_time = now;
  const TenantServiceKey key{report.service, report.tenant};
  if (known.counters.size() >= kMaxShares && !known.counters.contains(key)) return;
  const auto [counter, first] = known.counters.try_emplace(key);
  const std::uint32_t before = counter->second.slot_ms;
  const auto difference = static_cast<std::int32_t>(report.slot_ms - before);
  // The first counters of an unknown node cover the time before it was known here.
  const bool before_known = first && new_node;
  const bool out_of_order = difference < 0 && now - counter->second.increased_at < kMaxReorderDelay;
  if (out_of_order && !first) return;
  counter->second = {report.slot_ms, now};
  if (before_known || difference <= 0) return;
  const std::uint32_t added = std::min(static_cast<std::uint32_t>(difference), kMaxIncreaseMs);
  if (Share* share = share_of(key, now)) share->recent.add(added / 1000.0, now);
}

std::vector<SlotTimeReport> SlotTimeLedger::changes(Duration age, std::size_t max_count,
                                                    TimePoint now) const {
  std::vector<SlotTimeReport> result;
  for (auto change = own_changes_.rbegin(); change != own_changes_.rend(); ++change) {
    if (now - change->time > age || result.size() >= max_count) break;
    const TenantServiceKey key = change->key;
    const bool known = std::any_of(result.begin(), result.end(), [&](const SlotTimeReport& use) {
      return use.service == key.service && use.tenant == key.tenant;
    });
    const auto share = shares_.find(key);
    if (known || share == shares_.end()) continue;
    const auto granted = static_cast<std::uint64_t>(share->second.granted_ms);
    result.push_back({key.service, key.tenant, static_cast<std::uint32_t>(granted)});
  }
  return result;
}

double SlotTimeLedger::used_seconds(const TenantServiceKey& key, TimePoint now) const {
  const auto found = shares_.find(key);
  if (found == shares_.end()) return 0;
  return found->second.recent.value(now) + found->second.waiting;
}

double SlotTimeLedger::waiting_seconds(const TenantServiceKey& key) const {
  const auto found = shares_.find(key);
  return found == shares_.end() ? 0 : found->second.waiting;
}

SlotTimeLedger::Total SlotTimeLedger::total(std::uint64_t service, TimePoint now) const {
  Total total;
  for (const auto& [key, share] : shares_) {
    if (key.service != service) continue;
    const double seconds = share.recent.value(now) + share.waiting;
    if (seconds < kNegligibleUse) continue;
    total.seconds += seconds;
    total.weight += weight_of(key.tenant);
  }
  return total;
}

void SlotTimeLedger::remove_inactive(TimePoint now) {
  std::erase_if(
      nodes_, [&](const auto& entry) { return now - entry.second.last_receive_time > kGoneAfter; });
  std::erase_if(shares_, [&](const auto& entry) {
    const Share& share = entry.second;
    const bool idle = share.waiting <= 0 && share.recent.value(now) < kNegligibleUse;
    // After eviction the counter restarts at 0. By then the other nodes accept that as a restart.
    return idle && now - share.changed > kGoneAfter;
  });
}

}  // namespace stoathold
