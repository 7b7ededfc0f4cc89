/// @file
/// Orders the requests of one priority that wait for a service by weighted fair shares.
///
/// A tenant that recently used more slot time than its weighted fair share ranks behind those that
/// did not; the larger the excess, the later. All tenants within their share have the same rank and
/// are served by due time. So the order stays the same while no tenant takes more than the others,
/// and a tenant that is alone is never above its share. No slot is withheld: a rank only determines
/// the order.
///
/// There are two levels: tenants first, then the routes of a tenant. A tenant's share does not
/// depend on the routes that it uses. The share of a route is its typical part of the tenant's use.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "admission/slot_time_ledger.h"
#include "base/decaying_count.h"
#include "base/time.h"

namespace stoathold {

/// Describes a request to rank.
struct FairShareRequest {
  TenantServiceKey key;
  std::uint64_t route = 0;  ///< Hash of the route's name.
  Duration slot_time{0};    ///< Predicted time for which it holds a slot; 0 if unknown.
};

/// Ranks requests and records waiting work and used slot time. Used on one thread. The ledger must
/// outlive it.
class FairShareRanker {
 public:
  explicit FairShareRanker(SlotTimeLedger& ledger) : ledger_(ledger) {}

  /// Adds a request, which counts as waiting until `on_placed` or `on_unplaced`.
  /// @return its rank: 0 within the fair share; lower ranks are served first.
  double add_and_rank(const FairShareRequest& request, TimePoint now);
  /// Adds a request that needs no rank; it only counts as waiting.
  void add_waiting(const FairShareRequest& request, TimePoint now);
  /// Records that a request got a slot.
  /// @return the slot time that was charged.
  Duration on_placed(const FairShareRequest& request, TimePoint now);
  /// Records that a request left the queue without a slot.
  void on_unplaced(const FairShareRequest& request);

  /// Returns the ratio of the tenant's recent slot time to its fair share; 1 is exactly the share.
  [[nodiscard]] double share_ratio(const TenantServiceKey& key, TimePoint now) const;
  void remove_inactive(TimePoint now);

 private:
  /// Use of one route of a tenant, at this node.
  struct RouteUse {
    explicit RouteUse(std::uint64_t tenant_key) : owner(tenant_key) {}

    std::uint64_t owner;  ///< Identifies the tenant at the service.
    DecayingCount recent{kUsageDecayTime};
    DecayingCount typical{kTypicalUseDecayTime};
    double waiting = 0;
  };
  /// Decay time over which the typical share of a route is learned: several oscillations of
  /// arrivals.
  static constexpr Duration kTypicalUseDecayTime = std::chrono::seconds(60);

  [[nodiscard]] double tenant_rank(const TenantServiceKey& key, double cost, TimePoint now) const;
  [[nodiscard]] double route_rank(const FairShareRequest& request, double cost,
                                  TimePoint now) const;
  RouteUse* route_of(const FairShareRequest& request);

  SlotTimeLedger& ledger_;
  std::unordered_map<std::uint64_t, RouteUse> routes_;
};

}  // namespace stoathold
