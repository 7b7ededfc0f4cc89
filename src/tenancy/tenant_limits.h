/// @file
/// Limits on tenants' requests, held over all nodes together without asking anyone.
///
/// Each node keeps a token bucket of each limited tenant for the whole fleet: it is filled at the
/// tenant's rate up to its burst, and emptied by what this node admits and by what the other nodes
/// report to have admitted. Reports are counters that only rise, so a lost one costs nothing. They
/// are as old as the gossip that carries them; what is admitted meanwhile makes the bucket
/// negative, and is paid back before anything else is admitted.
///
/// A node that falls silent may be cut off and still admit. While it is silent each other node
/// takes from its bucket what the silent one may admit by itself: its share of the limit, which is
/// its share of the tenant's latest requests. The silent node sees all others silent and so leaves
/// itself just that share. All shares of a tenant add up to 1, so that cut parts of the fleet
/// together stay within the limit.
///
/// A node that leaves as planned says so once it admits nothing any more, and its share is the
/// others' at once. Whoever does not hear that takes it for silent.
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

/// Whether a request may go on.
struct AdmissionDecision {
  bool admitted = true;
  Duration retry_after{0};  ///< If refused: until a request would be admitted, as far as is known.
};

/// Time in which a count of recent requests falls to 1/e of itself: as long as the quickest swing
/// of arrivals seen (3.4 s low, 2.4 s high), which a share should not follow.
inline constexpr Duration kRecentMemory = std::chrono::seconds(3);

/// The buckets of all tenants, as this node sees them. Used on one thread.
class TenantLimits {
 public:
  /// A new version of the configuration is in force.
  void set_tenants(const TenantDirectory& directory, TimePoint now);

  /// Asks for one request of a tenant; if admitted, it is counted.
  AdmissionDecision admit(const Tenant& tenant, TimePoint now);
  /// A request that was admitted has not run and never will.
  void give_back(const std::string& tenant, TimePoint now);

  /// Another node is alive and in touch.
  void node_heard(std::uint64_t node, TimePoint now);
  /// The same by another node's word, which may be older than the node's own that it leaves.
  void node_reported(std::uint64_t node, TimePoint now);
  /// Another node has stopped as planned and admits nothing any more, until it is heard again.
  /// @return whether it counted until now.
  bool node_left(std::uint64_t node, TimePoint now);
  /// Another node has admitted so much for a tenant.
  void take_usage(std::uint64_t node, const TenantUsage& usage, TimePoint now);
  /// Recomputes which nodes are silent; called some times a second.
  void check_silence(TimePoint now);
  /// Whether any tenant has a limit.
  [[nodiscard]] bool limited() const { return limited_; }

  /// Returns this node's counters that changed within `age`, the newest first, at most `most`.
  [[nodiscard]] std::vector<TenantUsage> own_changes(Duration age, std::size_t most,
                                                     TimePoint now) const;
  /// Returns the counters of the given nodes that changed within `age`, the newest first, at most
  /// `most`.
  [[nodiscard]] std::vector<NodeTenantUsage> changes_of(const std::vector<std::uint64_t>& nodes,
                                                        Duration age, std::size_t most,
                                                        TimePoint now) const;
  /// Requests that may be admitted for the tenant now; negative while too many were. For tests and
  /// metrics.
  [[nodiscard]] double available(const std::string& tenant, TimePoint now);
  [[nodiscard]] std::size_t silent_nodes() const { return silent_.size(); }

 private:
  /// What one other node has admitted for a tenant.
  struct NodeUse {
    std::uint32_t admitted = 0;
    DecayingCount lately{kRecentMemory};
    double silent_share = 0;  ///< Its part of the limit since it fell silent; 0: it has not.
    double assumed = 0;       ///< Taken from the bucket for it while it was silent.
  };
  /// One tenant's bucket.
  struct Bucket {
    RateLimit limit;
    double level = 0;
    TimePoint filled{};
    double connected_share = 1;  ///< Part of the limit for the nodes that hear one another.
    std::uint32_t own_admitted = 0;
    DecayingCount own_lately{kRecentMemory};
    std::unordered_map<std::uint64_t, NodeUse> nodes;
  };

  /// A counter that has changed.
  struct Change {
    TimePoint time{};
    std::uint64_t node = 0;  ///< 0: this one.
    std::uint64_t tenant = 0;
  };
  static void note_change(std::deque<Change>& changes, std::uint64_t node, std::uint64_t tenant,
                          TimePoint now);
  Bucket& bucket_of(std::uint64_t tenant);
  void fill(Bucket& bucket, TimePoint now);
  [[nodiscard]] double weight_of(const Bucket& bucket, std::uint64_t node, TimePoint now) const;
  [[nodiscard]] double total_weight(const Bucket& bucket, TimePoint now) const;
  void divide(Bucket& bucket, const std::vector<std::uint64_t>& silent, TimePoint now);
  void fill_all(TimePoint now);
  void divide_all(TimePoint now);
  void end_silence(std::uint64_t node);
  void forget_gone(TimePoint now);
  void forget(const std::vector<std::uint64_t>& nodes, TimePoint now);
  /// Part of the limit of a process that hears nobody.
  [[nodiscard]] double share_alone() const;
  void skip_standstill(TimePoint now);

  std::unordered_map<std::uint64_t, Bucket> buckets_;  ///< By hash of the tenant's name.
  std::map<std::uint64_t, TimePoint> heard_;           ///< Other nodes, when last heard of.
  std::vector<std::uint64_t> silent_;                  ///< Those of them that are silent now.
  std::map<std::uint64_t, TimePoint> left_;            ///< Nodes that left as planned, and when.
  std::deque<Change> own_changes_;                     ///< The oldest first.
  std::deque<Change> node_changes_;                    ///< Those of other nodes, the oldest first.
  TimePoint checked_{};                                ///< When silence was last checked.
  bool limited_ = false;
  bool all_left_ = false;  ///< All other nodes that were known left as planned.
};

}  // namespace stoathold
