#include "tenancy/tenant_limits.h"

#include <algorithm>
#include <set>

#include "base/ids.h"

namespace stoathold {
namespace {

/// A node of which nothing was heard for so long is silent. Live nodes are heard of at least every
/// 100 ms, by messages of which some are lost; what a flood admits at cut nodes in this time is the
/// most that is admitted twice.
constexpr Duration kSilentAfter = std::chrono::milliseconds(450);
/// A silent node is taken to be gone after this time, while others are heard: longer than links or
/// the store have been cut in any deployment's list of faults (12 s).
constexpr Duration kGoneAfter = std::chrono::seconds(20);
/// Weight of a node without requests, in requests: it may admit a little when it is cut off.
constexpr double kIdleWeight = 0.1;
/// Nodes that a process assumes before it has heard of any: its share before it joins the gossip.
constexpr double kUnknownNodes = 16;
/// Changes are reported for so long at most.
constexpr Duration kChangesKept = std::chrono::seconds(7);
/// A bucket can always hold one request, else a small share would never admit any.
constexpr double kSmallestCapacity = 1.0;

}  // namespace

TenantLimits::Bucket& TenantLimits::bucket_of(std::uint64_t tenant) {
  return buckets_[tenant];
}

void TenantLimits::set_tenants(const TenantDirectory& directory, TimePoint now) {
  limited_ = false;
  for (const Tenant& tenant : directory.tenants()) {
    limited_ = limited_ || !tenant.limit.unlimited();
    Bucket& bucket = bucket_of(stable_hash(tenant.name));
    if (bucket.limit == tenant.limit) continue;
    const bool first = bucket.limit.unlimited();
    if (!first) fill(bucket, now);
    bucket.limit = tenant.limit;
    // A process that has just learned of a tenant doesn't know what the others admitted last.
    if (first) bucket.level = heard_.empty() ? tenant.limit.burst / kUnknownNodes : 0;
    if (first) bucket.level = std::max(bucket.level, kSmallestCapacity);
    if (first) bucket.filled = now;
    if (first) divide(bucket, silent_, now);
    bucket.level = std::min(bucket.level, std::max(kSmallestCapacity, tenant.limit.burst));
  }
}

/// Of a silent node the requests count that it had when it was last heard of.
double TenantLimits::weight_of(const Bucket& bucket, std::uint64_t node, TimePoint now) const {
  const auto found = bucket.nodes.find(node);
  if (found == bucket.nodes.end()) return kIdleWeight;
  const TimePoint heard = heard_.at(node);
  const TimePoint counted = now - heard > kSilentAfter ? heard : now;
  return found->second.lately.value(counted) + kIdleWeight;
}

/// One that has heard of nobody does not know how many there are. One of which all others have left
/// has the whole limit.
double TenantLimits::share_alone() const {
  return all_left_ ? 1 : 1 / (1 + kUnknownNodes);
}

double TenantLimits::total_weight(const Bucket& bucket, TimePoint now) const {
  const double own = bucket.own_lately.value(now) + kIdleWeight;
  if (heard_.empty()) return own / share_alone();
  double total = own;
  for (const auto& [node, heard] : heard_) total += weight_of(bucket, node, now);
  return total;
}

/// Divides the limit between the silent nodes and those that hear one another. What a node gets
/// when it falls silent stays as it is until it is heard again: neither side learns any more how
/// the tenant's requests divide.
void TenantLimits::divide(Bucket& bucket, const std::vector<std::uint64_t>& silent, TimePoint now) {
  const double total = total_weight(bucket, now);
  if (heard_.empty()) {
    bucket.connected_share = share_alone();
    return;
  }
  double left = 1;
  for (const std::uint64_t node : silent) {
    const auto known = bucket.nodes.find(node);
    const bool was_silent = known != bucket.nodes.end() && known->second.silent_share > 0;
    const double share =
        was_silent ? known->second.silent_share : weight_of(bucket, node, now) / total;
    if (known != bucket.nodes.end()) known->second.silent_share = share;
    left -= share;
  }
  bucket.connected_share = std::clamp(left, 0.0, 1.0);
}

void TenantLimits::fill(Bucket& bucket, TimePoint now) {
  const double seconds = to_seconds(now - bucket.filled);
  bucket.filled = now;
  if (seconds <= 0) return;
  const double gained = bucket.limit.per_second * seconds;
  for (const std::uint64_t node : silent_) {
    const auto use = bucket.nodes.find(node);
    if (use != bucket.nodes.end()) use->second.assumed += gained * use->second.silent_share;
  }
  const double capacity = std::max(kSmallestCapacity, bucket.limit.burst * bucket.connected_share);
  bucket.level = std::min(capacity, bucket.level + gained * bucket.connected_share);
}

AdmissionDecision TenantLimits::admit(const Tenant& tenant, TimePoint now) {
  if (tenant.limit.unlimited()) return {};
  if (now - checked_ > kSilentAfter) check_silence(now);
  Bucket& bucket = bucket_of(stable_hash(tenant.name));
  fill(bucket, now);
  if (bucket.level < 1) {
    const double missing = 1 - bucket.level;
    const double seconds =
        missing / (bucket.limit.per_second * std::max(kIdleWeight / 100, bucket.connected_share));
    return {false, scale(std::chrono::seconds(1), seconds)};
  }
  bucket.level -= 1;
  ++bucket.own_admitted;
  bucket.own_lately.add(1, now);
  note_change(own_changes_, 0, stable_hash(tenant.name), now);
  return {};
}

void TenantLimits::give_back(const std::string& tenant, TimePoint now) {
  const auto found = buckets_.find(stable_hash(tenant));
  if (found == buckets_.end() || found->second.limit.unlimited()) return;
  Bucket& bucket = found->second;
  bucket.level += 1;
  --bucket.own_admitted;
  note_change(own_changes_, 0, found->first, now);
}

void TenantLimits::node_heard(std::uint64_t node, TimePoint now) {
  left_.erase(node);
  all_left_ = false;
  const bool first = heard_.empty();
  if (first) fill_all(now);
  heard_[node] = now;
  if (first) divide_all(now);
}

void TenantLimits::node_reported(std::uint64_t node, TimePoint now) {
  if (!left_.contains(node)) node_heard(node, now);
}

bool TenantLimits::node_left(std::uint64_t node, TimePoint now) {
  left_[node] = now;
  if (!heard_.contains(node)) return false;
  all_left_ = heard_.size() == 1;
  forget({node}, now);
  return true;
}

void TenantLimits::take_usage(std::uint64_t node, const TenantUsage& usage, TimePoint now) {
  Bucket& bucket = bucket_of(usage.tenant);
  const bool known_node = heard_.contains(node);
  const auto [position, first] = bucket.nodes.try_emplace(node);
  NodeUse& use = position->second;
  const auto difference = static_cast<std::int32_t>(usage.admitted - use.admitted);
  // A counter that an unknown node brings along tells of the past, before this process began.
  const bool counts = !first || known_node;
  use.admitted = usage.admitted;
  if (difference == 0 || !counts) return;
  note_change(node_changes_, node, usage.tenant, now);
  if (difference > 0) use.lately.add(difference, now);
  const double foreseen = std::min(use.assumed, std::max(0.0, static_cast<double>(difference)));
  use.assumed = 0;
  if (bucket.limit.unlimited()) return;
  fill(bucket, now);
  bucket.level -= difference - foreseen;
}

void TenantLimits::fill_all(TimePoint now) {
  for (auto& [tenant, bucket] : buckets_) {
    if (!bucket.limit.unlimited()) fill(bucket, now);
  }
}

void TenantLimits::divide_all(TimePoint now) {
  for (auto& [tenant, bucket] : buckets_) {
    if (!bucket.limit.unlimited()) divide(bucket, silent_, now);
  }
}

void TenantLimits::end_silence(std::uint64_t node) {
  for (auto& [tenant, bucket] : buckets_) {
    const auto use = bucket.nodes.find(node);
    if (use != bucket.nodes.end()) use->second.silent_share = 0;
  }
}

/// A process that stood still has not seen what the others admitted meanwhile, so its buckets gain
/// nothing for that time.
void TenantLimits::skip_standstill(TimePoint now) {
  if (checked_ != TimePoint{} && now - checked_ > kSilentAfter) {
    for (auto& [tenant, bucket] : buckets_) bucket.filled = now;
  }
  checked_ = now;
}

void TenantLimits::check_silence(TimePoint now) {
  skip_standstill(now);
  std::vector<std::uint64_t> silent;
  for (const auto& [node, heard] : heard_) {
    if (now - heard > kSilentAfter) silent.push_back(node);
  }
  const bool alone = silent.size() == heard_.size();
  if (silent != silent_) {
    // What was gained until now was shared with those that were heard until now.
    fill_all(now);
    for (const std::uint64_t node : silent_) {
      if (now - heard_.at(node) <= kSilentAfter) end_silence(node);
    }
    silent_ = std::move(silent);
    divide_all(now);
  }
  if (alone) return;
  forget_gone(now);
}

void TenantLimits::forget_gone(TimePoint now) {
  std::erase_if(left_, [&](const auto& entry) { return now - entry.second > kGoneAfter; });
  std::vector<std::uint64_t> gone;
  for (const auto& [node, heard] : heard_) {
    if (now - heard > kGoneAfter) gone.push_back(node);
  }
  if (!gone.empty()) forget(gone, now);
}

/// Their shares are the others' from now on.
void TenantLimits::forget(const std::vector<std::uint64_t>& nodes, TimePoint now) {
  fill_all(now);
  for (const std::uint64_t node : nodes) {
    heard_.erase(node);
    std::erase(silent_, node);
  }
  for (auto& [tenant, bucket] : buckets_) {
    std::erase_if(bucket.nodes, [&](const auto& entry) { return !heard_.contains(entry.first); });
  }
  divide_all(now);
}

void TenantLimits::note_change(std::deque<Change>& changes, std::uint64_t node,
                               std::uint64_t tenant, TimePoint now) {
  while (!changes.empty() && now - changes.front().time > kChangesKept) changes.pop_front();
  changes.push_back({now, node, tenant});
}

std::vector<TenantUsage> TenantLimits::own_changes(Duration age, std::size_t most,
                                                   TimePoint now) const {
  std::vector<TenantUsage> result;
  std::set<std::uint64_t> included;
  for (auto change = own_changes_.rbegin(); change != own_changes_.rend(); ++change) {
    if (now - change->time > age || result.size() >= most) break;
    if (!included.insert(change->tenant).second) continue;
    result.push_back({change->tenant, buckets_.at(change->tenant).own_admitted});
  }
  return result;
}

std::vector<NodeTenantUsage> TenantLimits::changes_of(const std::vector<std::uint64_t>& nodes,
                                                      Duration age, std::size_t most,
                                                      TimePoint now) const {
  const std::set<std::uint64_t> wanted(nodes.begin(), nodes.end());
  std::vector<NodeTenantUsage> result;
  std::set<std::pair<std::uint64_t, std::uint64_t>> included;
  for (auto change = node_changes_.rbegin(); change != node_changes_.rend(); ++change) {
    if (now - change->time > age || result.size() >= most) break;
    if (!wanted.contains(change->node)) continue;
    if (!included.insert({change->node, change->tenant}).second) continue;
    const auto& uses = buckets_.at(change->tenant).nodes;
    const auto use = uses.find(change->node);
    if (use != uses.end()) result.push_back({change->node, {change->tenant, use->second.admitted}});
  }
  return result;
}

double TenantLimits::available(const std::string& tenant, TimePoint now) {
  Bucket& bucket = bucket_of(stable_hash(tenant));
  fill(bucket, now);
  return bucket.level;
}

}  // namespace stoathold
