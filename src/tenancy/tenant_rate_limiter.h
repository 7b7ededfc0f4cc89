/// @file
/// Distributed rate limiter for tenants that needs no coordination per request.
///
/// Each node keeps a token bucket of each limited tenant for the whole fleet. It is refilled at the
/// tenant's rate up to its burst, and drained by the requests that this node admits and those that
/// other nodes report. Reports carry counters that only increase, so a lost report costs nothing.
/// They are as old as the gossip that carries them. Requests admitted meanwhile make the bucket
/// negative, and this debt is paid back before anything else is admitted.
///
/// A silent node may be partitioned and still admit requests. Until it is heard from again, the
/// other nodes drain from their buckets what the silent node may admit: its share of the limit,
/// which is its share of the tenant's recent requests. The silent node sees all others as silent
/// and limits itself to that share. All shares of a tenant add up to 1, so that the parts of a
/// partitioned fleet together stay within the limit.
///
/// A node that leaves as planned reports this once it no longer admits requests, and its share is
/// redistributed at once. Nodes that miss this report treat it as silent.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/decaying_count.h"
#include "base/time.h"
#include "tenancy/tenant_directory.h"
#include "tenancy/tenant_usage.h"

namespace stoathold {

/// Whether a request is admitted.
struct AdmissionDecision {
  bool admitted = true;
  Duration retry_after{0};  ///< If rejected: estimated time until a request would be admitted.
};

/// Decay time (to 1/e) of the count of recent requests: as long as the fastest oscillation of
/// arrivals observed (3.4 s low, 2.4 s high), which shares should not follow.
inline constexpr Duration kRecentDecayTime = std::chrono::seconds(3);

/// Token buckets of all tenants, as seen by this node. Used on one thread.
class TenantRateLimiter {
 public:
  /// Applies a new version of the configuration.
  void set_tenants(const TenantDirectory& directory, TimePoint now);

  /// Requests admission for one request of a tenant. An admitted request is counted.
  AdmissionDecision admit(const Tenant& tenant, TimePoint now);
  /// Returns the token of an admitted request that has not run and never will.
  void refund(const std::string& tenant, TimePoint now);

  /// Records that another node is alive and connected.
  void on_node_heard(std::uint64_t node, TimePoint now);
  /// Records that a third node reported another node as alive. Ignored if that node has left as
  /// planned, because the report may be older than the leave.
  void on_node_reported(std::uint64_t node, TimePoint now);
  /// Records that another node has left as planned and admits nothing until it is heard from again.
  /// @return whether the node was known until now.
  bool on_node_left(std::uint64_t node, TimePoint now);
  /// Applies another node's counter of admitted requests of a tenant.
  void apply_usage(std::uint64_t node, const TenantUsage& usage, TimePoint now);
  /// Recomputes which nodes are silent; called several times a second.
  void update_silent_nodes(TimePoint now);
  /// Returns whether any tenant has a limit.
  [[nodiscard]] bool has_limits() const { return limited_; }

  /// Returns this node's counters that changed within `age`, newest first, at most `max_count`.
  [[nodiscard]] std::vector<TenantUsage> own_changes(Duration age, std::size_t max_count,
                                                     TimePoint now) const;
  /// Returns the counters of the given nodes that changed within `age`, newest first, at most
  /// `max_count`.
  [[nodiscard]] std::vector<NodeTenantUsage> changes_of(const std::vector<std::uint64_t>& nodes,
                                                        Duration age, std::size_t max_count,
                                                        TimePoint now) const;
  /// Returns the number of requests that can be admitted for the tenant now; negative while too
  /// many were admitted. For tests and metrics.
  [[nodiscard]] double available(const std::string& tenant, TimePoint now);
  [[nodiscard]] std::size_t silent_nodes() const { return silent_nodes_.size(); }

 private:
  /// Admissions of one other node for a tenant.
  struct NodeUsage {
    std::uint32_t admitted = 0;
    DecayingCount recent{kRecentDecayTime};
    /// Its share of the limit since it fell silent; 0 if it is not silent.
    double silent_share = 0;
    double assumed_admitted = 0;  ///< Tokens drained for it while it was silent.
  };
  /// Token bucket of one tenant.
  struct Bucket {
    RateLimit limit;
    double level = 0;
    TimePoint refilled_at{};
    double connected_share = 1;  ///< Share of the limit for the connected nodes.
    std::uint32_t own_admitted = 0;
    DecayingCount own_recent{kRecentDecayTime};
    std::unordered_map<std::uint64_t, NodeUsage> nodes;
  };

  /// A changed counter.
  struct Change {
    TimePoint time{};
    std::uint64_t node = 0;  ///< 0 for this node.
    std::uint64_t tenant = 0;
  };
  static void note_change(std::deque<Change>& changes, std::uint64_t node, std::uint64_t tenant,
                          TimePoint now);
  Bucket& bucket_of(std::uint64_t tenant);
  void refill(Bucket& bucket, TimePoint now);
  [[nodiscard]] double weight_of(const Bucket& bucket, std::uint64_t node, TimePoint now) const;
  [[nodiscard]] double total_weight(const Bucket& bucket, TimePoint now) const;
  void assign_shares(Bucket& bucket, const std::vector<std::uint64_t>& silent, TimePoint now);
  void refill_all(TimePoint now);
  void assign_all_shares(TimePoint now);
  void clear_silent_share(std::uint64_t node);
  void remove_gone_nodes(TimePoint now);
  void remove_nodes(const std::vector<std::uint64_t>& nodes, TimePoint now);
  /// Returns the share of the limit for a process that hears from no other node.
  [[nodiscard]] double isolated_share() const;
  void skip_suspension(TimePoint now);

  std::unordered_map<std::uint64_t, Bucket> buckets_;  ///< By hash of the tenant's name.
  /// Other nodes and when they were last heard from.
  std::map<std::uint64_t, TimePoint> last_receive_time_;
  std::vector<std::uint64_t> silent_nodes_;      ///< Those of them that are silent.
  std::map<std::uint64_t, TimePoint> departed_;  ///< Nodes that left as planned, and when.
  std::deque<Change> own_changes_;               ///< Oldest first.
  std::deque<Change> node_changes_;              ///< Changes of other nodes, oldest first.
  TimePoint last_check_{};                       ///< Time of the last check for silent nodes.
  bool limited_ = false;
  bool all_departed_ = false;  ///< All other known nodes left as planned.
};

}  // namespace stoathold
