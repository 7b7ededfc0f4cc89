#include "admission/fair_share_ranker.h"

#include <algorithm>
#include <cmath>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Assumed slot time of a request without a prediction.
constexpr Duration kUnknownSlotTime = std::chrono::milliseconds(500);
/// A tenant ranks behind others only if it exceeds its fair share by this factor and also by this
/// number of requests. At a few requests per second, chance alone causes such a difference within
/// the usage decay time.
constexpr double kTenantTolerance = 1.1;
constexpr double kToleratedRequests = 3;
/// The same factor for a route above its typical share. Only this node's requests of a route are
/// known.
constexpr double kRouteTolerance = 1.25;
/// Ranks between a tenant's fair share and twice that share, so that tenants above their shares are
/// balanced against each other as well.
constexpr double kRanksPerShare = 4;
/// Highest rank; tenants that exceed their share by more are not distinguished further.
constexpr double kMaxTenantRank = 40;
/// Route ranks stay below 1, so that they only order the requests within one tenant rank.
constexpr double kRouteRankStep = 0.1;
constexpr double kMaxRouteRank = 0.9;
/// Maximum number of tracked routes over all tenants.
constexpr std::size_t kMaxRoutes = 1024;
/// Use below this, in seconds of slot time, is dropped.
constexpr double kNegligibleUse = 0.005;

Duration slot_time_of(const FairShareRequest& request) {
  return request.slot_time > Duration{0} ? request.slot_time : kUnknownSlotTime;
}

std::uint64_t owner_of(const TenantServiceKey& key) {
  return mix_hashes(key.service, key.tenant);
}

}  // namespace

double FairShareRanker::tenant_rank(const TenantServiceKey& key, double cost, TimePoint now) const {
  const SlotTimeLedger::Total total = ledger_.total(key.service, now);
  if (total.weight <= 0) return 0;
  const double fair_share = total.seconds / total.weight * ledger_.weight_of(key.tenant);
  const double excess =
      ledger_.used_seconds(key, now) - kTenantTolerance * fair_share - kToleratedRequests * cost;
  if (excess <= 0) return 0;
  return std::min(kMaxTenantRank,
                  1 + std::floor(kRanksPerShare * excess / std::max(fair_share, cost)));
}

double FairShareRanker::route_rank(const FairShareRequest& request, double cost,
                                   TimePoint now) const {
  const std::uint64_t owner = owner_of(request.key);
  double recent = 0;
  double typical = 0;
  for (const auto& [name, use] : routes_) {
    if (use.owner != owner) continue;
    recent += use.recent.value(now) + use.waiting;
    typical += use.typical.value(now);
  }
  const auto own = routes_.find(mix_hashes(owner, request.route));
  if (own == routes_.end() || typical < kNegligibleUse) return 0;
  const double fair_share = recent * own->second.typical.value(now) / typical;
  const double excess = own->second.recent.value(now) + own->second.waiting -
                        kRouteTolerance * fair_share - kToleratedRequests * cost;
  if (excess <= 0) return 0;
  return std::min(kMaxRouteRank,
                  kRouteRankStep * (1 + std::floor(excess / std::max(fair_share, cost))));
}

FairShareRanker::RouteUse* FairShareRanker::route_of(const FairShareRequest& request) {
  const std::uint64_t owner = owner_of(request.key);
  const std::uint64_t name = mix_hashes(owner, request.route);
  const auto found = routes_.find(name);
  if (found != routes_.end()) return &found->second;
  if (routes_.size() >= kMaxRoutes) return nullptr;
  return &routes_.emplace(name, RouteUse(owner)).first->second;
}

double FairShareRanker::add_and_rank(const FairShareRequest& request, TimePoint now) {
  const double cost = to_seconds(slot_time_of(request));
  const double rank = tenant_rank(request.key, cost, now) + route_rank(request, cost, now);
  add_waiting(request, now);
  return rank;
}

void FairShareRanker::add_waiting(const FairShareRequest& request, TimePoint now) {
  const Duration slot_time = slot_time_of(request);
  ledger_.add_waiting(request.key, slot_time, now);
  if (RouteUse* route = route_of(request)) route->waiting += to_seconds(slot_time);
}

void FairShareRanker::on_unplaced(const FairShareRequest& request) {
  ledger_.remove_waiting(request.key, slot_time_of(request));
  RouteUse* route = route_of(request);
  if (route == nullptr) return;
  route->waiting = std::max(0.0, route->waiting - to_seconds(slot_time_of(request)));
}

Duration FairShareRanker::on_placed(const FairShareRequest& request, TimePoint now) {
  on_unplaced(request);
  const Duration slot_time = slot_time_of(request);
  ledger_.charge(request.key, slot_time, now);
  if (RouteUse* route = route_of(request)) {
    route->recent.add(to_seconds(slot_time), now);
    route->typical.add(to_seconds(slot_time), now);
  }
  return slot_time;
}

double FairShareRanker::share_ratio(const TenantServiceKey& key, TimePoint now) const {
  const SlotTimeLedger::Total total = ledger_.total(key.service, now);
  if (total.seconds <= 0) return 0;
  const double fair_share = total.seconds / total.weight * ledger_.weight_of(key.tenant);
  return ledger_.used_seconds(key, now) / fair_share;
}

void FairShareRanker::remove_inactive(TimePoint now) {
  ledger_.remove_inactive(now);
  std::erase_if(routes_, [&](const auto& entry) {
    const RouteUse& use = entry.second;
    return use.waiting <= 0 && use.typical.value(now) < kNegligibleUse;
  });
}

}  // namespace stoathold
