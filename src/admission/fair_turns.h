/// @file
/// Whose request goes first among those of one priority that wait for a service.
///
/// Who was given more slot time lately than an equal part, by weight, goes behind those who were
/// not: the further above, the later. All within their part have the same turn and go by the time
/// at which they are due, so that nothing changes while nobody takes more than the others, and one
/// that is alone is never above its part. Nothing is kept back: a turn is only an order.
///
/// Two levels: tenants first, then the routes of a tenant. A tenant's part does not depend on the
/// routes that it uses. Among routes the part is what they usually have.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "admission/share_ledger.h"
#include "base/decaying_count.h"
#include "base/time.h"

namespace stoathold {

/// What a turn is asked for.
struct TurnRequest {
  ShareKey key;
  std::uint64_t route = 0;  ///< Hash of the route's name.
  Duration slot_time{0};    ///< For which it is predicted to hold a slot; 0: not known.
};

/// Gives out turns, and counts what waits and what was given. Used on one thread; the ledger
/// outlives it.
class FairTurns {
 public:
  explicit FairTurns(ShareLedger& ledger) : ledger_(ledger) {}

  /// A request comes, and counts as waiting until `placed` or `left`.
  /// @return its turn: 0 within its part; lower goes first.
  double arrive(const TurnRequest& request, TimePoint now);
  /// The same where no turn is wanted: it only counts as waiting.
  void count_waiting(const TurnRequest& request, TimePoint now);
  /// It was given a slot.
  /// @return the slot time that was counted.
  Duration placed(const TurnRequest& request, TimePoint now);
  /// It left without one.
  void left(const TurnRequest& request);

  /// Returns the slot time lately of the tenant over its part; 1: just its part.
  [[nodiscard]] double over_part(const ShareKey& key, TimePoint now) const;
  void forget(TimePoint now);

 private:
  /// Requests of one route of a tenant, at this node.
  struct RouteUse {
    explicit RouteUse(std::uint64_t tenant_key) : owner(tenant_key) {}

    std::uint64_t owner;  ///< Of the tenant at the service.
    DecayingCount lately{kShareMemory};
    DecayingCount usual{kUsualMemory};
    double waiting = 0;
  };
  /// Over which the usual part of a route is learned: some swings of arrivals.
  static constexpr Duration kUsualMemory = std::chrono::seconds(60);

  [[nodiscard]] double tenant_turn(const ShareKey& key, double cost, TimePoint now) const;
  [[nodiscard]] double route_turn(const TurnRequest& request, double cost, TimePoint now) const;
  RouteUse* route_of(const TurnRequest& request);

  ShareLedger& ledger_;
  std::unordered_map<std::uint64_t, RouteUse> routes_;
};

}  // namespace stoathold
