#include "tenancy/tenant_rate_limiter.h"

#include <algorithm>
#include <set>

#include "base/ids.h"

namespace stoathold {
namespace {

/// A node that has not been heard from for this long is silent. Live nodes are heard from at least
/// every 100 ms, by messages some of which are lost. The requests that a flood gets admitted at
/// partitioned nodes within this time bound what is admitted twice.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(450);
/// A silent node is removed after this time if other nodes are still heard from. It is longer than
/// any partition of links or of the store in the fault lists of the deployments (12 s).
constexpr Duration kRemovalTimeout = std::chrono::seconds(20);
/// Weight in requests of a node without requests, so that it can admit a few when it is
/// partitioned.
constexpr double kIdleWeight = 0.1;
/// Number of nodes that a process assumes before it has heard from any; it determines the process's
/// share before it joins the gossip.
constexpr double kAssumedNodes = 16;
/// Maximum time for which changes are reported.
constexpr Duration kChangeRetention = std::chrono::seconds(7);
/// A bucket can always hold one request; otherwise a small share would never admit any.
constexpr double kMinCapacity = 1.0;

}  // namespace

TenantRateLimiter::Bucket& TenantRateLimiter::bucket_of(std::uint64_t tenant) {
  return buckets_[tenant];
}

void TenantRateLimiter::set_tenants(const TenantDirectory& directory, TimePoint now) {
  limited_ = false;
  for (const Tenant& tenant : directory.tenants()) {
    limited_ = limited_ || !tenant.limit.unlimited();
    Bucket& bucket = bucket_of(stable_hash(tenant.name));
    if (bucket.limit == tenant.limit) continue;
    const bool first = bucket.limit.unlimited();
    if (!first) refill(bucket, now);
    bucket.limit = tenant.limit;
    // A process that has just learned of a tenant does not know the others' recent admissions.
    if (first) bucket.level = last_receive_time_.empty() ? tenant.limit.burst / kAssumedNodes : 0;
    if (first) bucket.level = std::max(bucket.level, kMinCapacity);
    if (first) bucket.refilled_at = now;
    if (first) assign_shares(bucket, silent_nodes_, now);
    bucket.level = std::min(bucket.level, std::max(kMinCapacity, tenant.limit.burst));
  }
}

/// A silent node is weighted by its requests at the time when it was last heard from.
double TenantRateLimiter::weight_of(const Bucket& bucket, std::uint64_t node, TimePoint now) const {
  const auto found = bucket.nodes.find(node);
  if (found == bucket.nodes.end()) return kIdleWeight;
  const TimePoint last_receive_time = last_receive_time_.at(node);
  const TimePoint counted = now - last_receive_time > kSilenceTimeout ? last_receive_time : now;
  return found->second.recent.value(counted) + kIdleWeight;
}

/// A process that has heard from no other node does not know how many there are. A process that all
/// others have left has the whole limit.
double TenantRateLimiter::isolated_share() const {
  return all_departed_ ? 1 : 1 / (1 + kAssumedNodes);
}

double TenantRateLimiter::total_weight(const Bucket& bucket, TimePoint now) const {
  const double own = bucket.own_recent.value(now) + kIdleWeight;
  if (last_receive_time_.empty()) return own / isolated_share();
  double total = own;
  for (const auto& [node, last_receive_time] : last_receive_time_)
    total += weight_of(bucket, node, now);
  return total;
}

/// Divides the limit between the silent nodes and the connected ones. A node keeps the share that
/// it has when it falls silent until it is heard from again, since neither side learns any longer
/// how the tenant's requests are distributed.
void TenantRateLimiter::assign_shares(Bucket& bucket, const std::vector<std::uint64_t>& silent,
                                      TimePoint now) {
  const double total = total_weight(bucket, now);
  if (last_receive_time_.empty()) {
    bucket.connected_share = isolated_share();
    return;
  }
  double remaining = 1;
  for (const std::uint64_t node : silent) {
    const auto known = bucket.nodes.find(node);
    const bool was_silent = known != bucket.nodes.end() && known->second.silent_share > 0;
    const double share =
        was_silent ? known->second.silent_share : weight_of(bucket, node, now) / total;
    if (known != bucket.nodes.end()) known->second.silent_share = share;
    remaining -= share;
  }
  bucket.connected_share = std::clamp(remaining, 0.0, 1.0);
}

void TenantRateLimiter::refill(Bucket& bucket, TimePoint now) {
  const double seconds = to_seconds(now - bucket.refilled_at);
  bucket.refilled_at = now;
  if (seconds <= 0) return;
  const double gained = bucket.limit.per_second * seconds;
  for (const std::uint64_t node : silent_nodes_) {
    const auto usage_of_node = bucket.nodes.find(node);
    if (usage_of_node != bucket.nodes.end())
      usage_of_node->second.assumed_admitted += gained * usage_of_node->second.silent_share;
  }
  const double capacity = std::max(kMinCapacity, bucket.limit.burst * bucket.connected_share);
  bucket.level = std::min(capacity, bucket.level + gained * bucket.connected_share);
}

AdmissionDecision TenantRateLimiter::admit(const Tenant& tenant, TimePoint now) {
  if (tenant.limit.unlimited()) return {};
  if (now - last_check_ > kSilenceTimeout) update_silent_nodes(now);
  Bucket& bucket = bucket_of(stable_hash(tenant.name));
  refill(bucket, now);
  if (bucket.level < 1) {
    const double missing = 1 - bucket.level;
    const double seconds =
        missing / (bucket.limit.per_second * std::max(kIdleWeight / 100, bucket.connected_share));
    return {false, scale(std::chrono::seconds(1), seconds)};
  }
  bucket.level -= 1;
  ++bucket.own_admitted;
  bucket.own_recent.add(1, now);
  note_change(own_changes_, 0, stable_hash(tenant.name), now);
  return {};
}

void TenantRateLimiter::refund(const std::string& tenant, TimePoint now) {
  const auto found = buckets_.find(stable_hash(tenant));
  if (found == buckets_.end() || found->second.limit.unlimited()) return;
  Bucket& bucket = found->second;
  bucket.level += 1;
  --bucket.own_admitted;
  note_change(own_changes_, 0, found->first, now);
}

void TenantRateLimiter::on_node_heard(std::uint64_t node, TimePoint now) {
  departed_.erase(node);
  all_departed_ = false;
  const bool first = last_receive_time_.empty();
  if (first) refill_all(now);
  last_receive_time_[node] = now;
  if (first) assign_all_shares(now);
}

void TenantRateLimiter::on_node_reported(std::uint64_t node, TimePoint now) {
  if (!departed_.contains(node)) on_node_heard(node, now);
}

bool TenantRateLimiter::on_node_left(std::uint64_t node, TimePoint now) {
  departed_[node] = now;
  if (!last_receive_time_.contains(node)) return false;
  all_departed_ = last_receive_time_.size() == 1;
  remove_nodes({node}, now);
  return true;
}

void TenantRateLimiter::apply_usage(std::uint64_t node, const TenantUsage& usage, TimePoint now) {
  Bucket& bucket = bucket_of(usage.tenant);
  const bool known_node = last_receive_time_.contains(node);
  const auto [position, first] = bucket.nodes.try_emplace(node);
  NodeUsage& usage_of_node = position->second;
  const auto difference = static_cast<std::int32_t>(usage.admitted - usage_of_node.admitted);
  // The first counter of an unknown node covers the time before this process started.
  const bool counts = !first || known_node;
  usage_of_node.admitted = usage.admitted;
  if (difference == 0 || !counts) return;
  note_change(node_changes_, node, usage.tenant, now);
  if (difference > 0) usage_of_node.recent.add(difference, now);
  const double already_counted =
      std::min(usage_of_node.assumed_admitted, std::max(0.0, static_cast<double>(difference)));
  usage_of_node.assumed_admitted = 0;
  if (bucket.limit.unlimited()) return;
  refill(bucket, now);
  bucket.level -= difference - already_counted;
}

void TenantRateLimiter::refill_all(TimePoint now) {
  for (auto& [tenant, bucket] : buckets_) {
    if (!bucket.limit.unlimited()) refill(bucket, now);
  }
}

void TenantRateLimiter::assign_all_shares(TimePoint now) {
  for (auto& [tenant, bucket] : buckets_) {
    if (!bucket.limit.unlimited()) assign_shares(bucket, silent_nodes_, now);
  }
}

void TenantRateLimiter::clear_silent_share(std::uint64_t node) {
  for (auto& [tenant, bucket] : buckets_) {
    const auto usage_of_node = bucket.nodes.find(node);
    if (usage_of_node != bucket.nodes.end()) usage_of_node->second.silent_share = 0;
  }
}

/// A suspended process has not seen what the others admitted meanwhile, so its buckets gain no
/// tokens for that time.
void TenantRateLimiter::skip_suspension(TimePoint now) {
  if (last_check_ != TimePoint{} && now - last_check_ > kSilenceTimeout) {
    for (auto& [tenant, bucket] : buckets_) bucket.refilled_at = now;
  }
  last_check_ = now;
}

void TenantRateLimiter::update_silent_nodes(TimePoint now) {
  skip_suspension(now);
  std::vector<std::uint64_t> silent;
  for (const auto& [node, last_receive_time] : last_receive_time_) {
    if (now - last_receive_time > kSilenceTimeout) silent.push_back(node);
  }
  const bool all_silent = silent.size() == last_receive_time_.size();
  if (silent != silent_nodes_) {
    // Tokens gained until now were shared with the nodes that were connected until now.
    refill_all(now);
    for (const std::uint64_t node : silent_nodes_) {
      if (now - last_receive_time_.at(node) <= kSilenceTimeout) clear_silent_share(node);
    }
    silent_nodes_ = std::move(silent);
    assign_all_shares(now);
  }
  if (all_silent) return;
  remove_gone_nodes(now);
}

void TenantRateLimiter::remove_gone_nodes(TimePoint now) {
  std::erase_if(departed_, [&](const auto& entry) { return now - entry.second > kRemovalTimeout; });
  std::vector<std::uint64_t> gone;
  for (const auto& [node, last_receive_time] : last_receive_time_) {
    if (now - last_receive_time > kRemovalTimeout) gone.push_back(node);
  }
  if (!gone.empty()) remove_nodes(gone, now);
}

/// Redistributes the shares of the removed nodes to the others.
void TenantRateLimiter::remove_nodes(const std::vector<std::uint64_t>& nodes, TimePoint now) {
  refill_all(now);
  for (const std::uint64_t node : nodes) {
    last_receive_time_.erase(node);
    std::erase(silent_nodes_, node);
  }
  for (auto& [tenant, bucket] : buckets_) {
    std::erase_if(bucket.nodes,
                  [&](const auto& entry) { return !last_receive_time_.contains(entry.first); });
  }
  assign_all_shares(now);
}

void TenantRateLimiter::note_change(std::deque<Change>& changes, std::uint64_t node,
                                    std::uint64_t tenant, TimePoint now) {
  while (!changes.empty() && now - changes.front().time > kChangeRetention) changes.pop_front();
  changes.push_back({now, node, tenant});
}

std::vector<TenantUsage> TenantRateLimiter::own_changes(Duration age, std::size_t max_count,
                                                        TimePoint now) const {
  std::vector<TenantUsage> result;
  std::set<std::uint64_t> included;
  for (auto change = own_changes_.rbegin(); change != own_changes_.rend(); ++change) {
    if (now - change->time > age || result.size() >= max_count) break;
    if (!included.insert(change->tenant).second) continue;
    result.push_back({change->tenant, buckets_.at(change->tenant).own_admitted});
  }
  return result;
}

std::vector<NodeTenantUsage> TenantRateLimiter::changes_of(const std::vector<std::uint64_t>& nodes,
                                                           Duration age, std::size_t max_count,
                                                           TimePoint now) const {
  const std::set<std::uint64_t> wanted(nodes.begin(), nodes.end());
  std::vector<NodeTenantUsage> result;
  std::set<std::pair<std::uint64_t, std::uint64_t>> included;
  for (auto change = node_changes_.rbegin(); change != node_changes_.rend(); ++change) {
    if (now - change->time > age || result.size() >= max_count) break;
    if (!wanted.contains(change->node)) continue;
    if (!included.insert({change->node, change->tenant}).second) continue;
    const auto& usage_by_node = buckets_.at(change->tenant).nodes;
    const auto usage_of_node = usage_by_node.find(change->node);
    if (usage_of_node != usage_by_node.end())
      result.push_back({change->node, {change->tenant, usage_of_node->second.admitted}});
  }
  return result;
}

double TenantRateLimiter::available(const std::string& tenant, TimePoint now) {
  Bucket& bucket = bucket_of(stable_hash(tenant));
  refill(bucket, now);
  return bucket.level;
}

}  // namespace stoathold
