#include "admission/fair_turns.h"

#include <algorithm>
#include <cmath>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Slot time of a request of which nothing is predicted.
constexpr Duration kUnknownSlotTime = std::chrono::milliseconds(500);
/// A tenant may be above its part by so much, and by so many requests, before it goes behind
/// others: at few requests a second chance alone makes that difference within the memory of use.
constexpr double kTenantTolerance = 1.1;
constexpr double kToleratedRequests = 3;
/// The same for a route above its usual part, of which only this node's requests are known.
constexpr double kRouteTolerance = 1.25;
/// Turns between a tenant's part and twice of it: those above their parts are evened out too.
constexpr double kTurnsPerPart = 4;
/// The latest turn: who is further above is not distinguished any more.
constexpr double kLastTurn = 40;
/// Routes only order inside a tenant's turn.
constexpr double kRouteTurnStep = 0.1;
constexpr double kLastRouteTurn = 0.9;
/// Routes that are distinguished at most, over all tenants.
constexpr std::size_t kMaxRoutes = 1024;
/// Use below this, in seconds of slot time, is forgotten.
constexpr double kNoUse = 0.005;

Duration slot_time_of(const TurnRequest& request) {
  return request.slot_time > Duration{0} ? request.slot_time : kUnknownSlotTime;
}

std::uint64_t owner_of(const ShareKey& key) {
  return mix_hashes(key.service, key.tenant);
}

}  // namespace

double FairTurns::tenant_turn(const ShareKey& key, double cost, TimePoint now) const {
  const ShareLedger::Total total = ledger_.total(key.service, now);
  if (total.weight <= 0) return 0;
  const double part = total.seconds / total.weight * ledger_.weight_of(key.tenant);
  const double above =
      ledger_.seconds(key, now) - kTenantTolerance * part - kToleratedRequests * cost;
  if (above <= 0) return 0;
  return std::min(kLastTurn, 1 + std::floor(kTurnsPerPart * above / std::max(part, cost)));
}

double FairTurns::route_turn(const TurnRequest& request, double cost, TimePoint now) const {
  const std::uint64_t owner = owner_of(request.key);
  double lately = 0;
  double usual = 0;
  for (const auto& [name, use] : routes_) {
    if (use.owner != owner) continue;
    lately += use.lately.value(now) + use.waiting;
    usual += use.usual.value(now);
  }
  const auto own = routes_.find(mix_hashes(owner, request.route));
  if (own == routes_.end() || usual < kNoUse) return 0;
  const double part = lately * own->second.usual.value(now) / usual;
  const double above = own->second.lately.value(now) + own->second.waiting -
                       kRouteTolerance * part - kToleratedRequests * cost;
  if (above <= 0) return 0;
  return std::min(kLastRouteTurn, kRouteTurnStep * (1 + std::floor(above / std::max(part, cost))));
}

FairTurns::RouteUse* FairTurns::route_of(const TurnRequest& request) {
  const std::uint64_t owner = owner_of(request.key);
  const std::uint64_t name = mix_hashes(owner, request.route);
  const auto found = routes_.find(name);
  if (found != routes_.end()) return &found->second;
  if (routes_.size() >= kMaxRoutes) return nullptr;
  return &routes_.emplace(name, RouteUse(owner)).first->second;
}

double FairTurns::arrive(const TurnRequest& request, TimePoint now) {
  const double cost = to_seconds(slot_time_of(request));
  const double turn = tenant_turn(request.key, cost, now) + route_turn(request, cost, now);
  count_waiting(request, now);
  return turn;
}

void FairTurns::count_waiting(const TurnRequest& request, TimePoint now) {
  const Duration slot_time = slot_time_of(request);
  ledger_.wait(request.key, slot_time, now);
  if (RouteUse* route = route_of(request)) route->waiting += to_seconds(slot_time);
}

void FairTurns::left(const TurnRequest& request) {
  ledger_.end_wait(request.key, slot_time_of(request));
  RouteUse* route = route_of(request);
  if (route == nullptr) return;
  route->waiting = std::max(0.0, route->waiting - to_seconds(slot_time_of(request)));
}

Duration FairTurns::placed(const TurnRequest& request, TimePoint now) {
  left(request);
  const Duration slot_time = slot_time_of(request);
  ledger_.use(request.key, slot_time, now);
  if (RouteUse* route = route_of(request)) {
    route->lately.add(to_seconds(slot_time), now);
    route->usual.add(to_seconds(slot_time), now);
  }
  return slot_time;
}

double FairTurns::over_part(const ShareKey& key, TimePoint now) const {
  const ShareLedger::Total total = ledger_.total(key.service, now);
  if (total.seconds <= 0) return 0;
  const double part = total.seconds / total.weight * ledger_.weight_of(key.tenant);
  return ledger_.seconds(key, now) / part;
}

void FairTurns::forget(TimePoint now) {
  ledger_.forget(now);
  std::erase_if(routes_, [&](const auto& entry) {
    const RouteUse& use = entry.second;
    return use.waiting <= 0 && use.usual.value(now) < kNoUse;
  });
}

}  // namespace stoathold
