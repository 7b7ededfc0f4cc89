/// @file
/// Fair sharing of slots among tenants and routes: connects the scheduler of `FairShareRanker` to
/// the placement queue, the digests between nodes, the configuration, logs and metrics.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/fair_share_ranker.h"
#include "admission/load_policy.h"
#include "admission/priority_inversion_monitor.h"
#include "admission/slot_time_ledger.h"
#include "routing/configuration.h"
#include "routing/load_messages.h"
#include "routing/peer_loads.h"
#include "routing/placement_queue.h"

namespace stoathold {

/// Metrics of one tenant at one service.
struct TenantShareRow {
  std::string service;
  std::string tenant;          ///< "other" for tenants beyond the bound on rows.
  double waiting_seconds = 0;  ///< Predicted slot time of the requests that wait at this node.
  double granted_seconds = 0;  ///< Predicted slot time granted by this node since its start.
  double usage_ratio = 0;  ///< Recent slot time at all nodes divided by the tenant's fair share.
};

/// Orders waiting requests by the fair shares of their tenants and routes while the policy enables
/// it. Usage is counted in any case, so that the policy may change at any time. Not thread-safe;
/// the policy must outlive it.
class FairShares {
 public:
  explicit FairShares(const LoadPolicy& policy) : policy_(policy), ranker_(ledger_) {}
  FairShares(const FairShares&) = delete;
  FairShares& operator=(const FairShares&) = delete;

  /// Applies the tenants' weights and the priorities of a new configuration.
  void configure(const ServingConfiguration& configuration);
  /// Sets the callbacks of a placement queue that are decided by fair shares.
  void register_with(PlacementPolicy& placement_policy);
  /// Returns the handlers that write and read this part of the digests within the zone.
  [[nodiscard]] DigestPart digest_part();
  /// Adds this node's slot usage to a digest; does nothing while the policy does not share fairly.
  void add_to_digest(LoadDigest& digest, bool full_digest, TimePoint now) const;
  /// Applies the slot usage that another node of the zone reports.
  void apply_digest(const LoadDigest& digest, TimePoint now);

  [[nodiscard]] std::vector<TenantShareRow> tenant_rows(TimePoint now) const;
  [[nodiscard]] const PriorityInversionMonitor& inversion_monitor() const {
    return inversion_monitor_;
  }

 private:
  /// Names and counters of one tenant at one service.
  struct TenantCount {
    TenantServiceKey key;
    double granted_seconds = 0;
    TimePoint last_logged{};  ///< When it was last logged as above its fair share.
  };
  using TenantCounts = std::map<std::pair<std::string, std::string>, TenantCount>;

  double fair_share_rank(const PlacementRequest& request, TimePoint now);
  void on_placed(const PlacementRequest& request, TimePoint now);
  void on_unplaced(const PlacementRequest& request, TimePoint now);
  [[nodiscard]] bool yields_to_peers(const PlacementRequest& request) const;
  [[nodiscard]] bool has_lowest_priority(const PlacementRequest& request) const;
  void log_above_share(const PlacementRequest& request, TimePoint now);
  void log_inversions(TimePoint now);
  TenantCount& counts_for(const PlacementRequest& request);

  const LoadPolicy& policy_;
  SlotTimeLedger ledger_;
  FairShareRanker ranker_;
  PriorityInversionMonitor inversion_monitor_;
  TenantCounts tenants_;
  /// Lowest priority (greatest number) of online work that a route or tenant has, by service.
  std::unordered_map<std::string, std::uint32_t> lowest_priority_;
  bool has_tenants_ = false;      ///< Whether the configuration has any tenants.
  TimePoint last_maintenance_{};  ///< Last expiry of old usage and check for inversions.
};

}  // namespace stoathold
