#include "gateway/fair_shares.h"

#include <algorithm>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"

namespace stoathold {
namespace {

/// Counters that changed within this time are repeated in each digest: some digests are lost.
constexpr Duration kRepeated = std::chrono::milliseconds(250);
/// The same for the digests that go out now and then to repair what was lost.
constexpr Duration kRepeatedThoroughly = std::chrono::seconds(6);
/// Most counters in a digest: 20 bytes each, beside the loads in one datagram.
constexpr std::size_t kMostInDigest = 16;
/// A tenant that stays above its part is logged this often.
constexpr Duration kToldAgain = std::chrono::seconds(5);
/// Between two rounds of forgetting and of looking for inversions.
constexpr Duration kUpkeepInterval = std::chrono::seconds(5);
/// Most tenants and services with metrics of their own: some hundred lines of the page.
constexpr std::size_t kMaxRows = 200;
/// From this turn on a tenant is above its part; below it only its routes are put in order.
constexpr double kAbovePart = 1;

ShareKey key_of(const PlacementRequest& request) {
  const auto work = static_cast<std::uint64_t>(request.work);
  return {mix_hashes(stable_hash(request.selection.service), work), stable_hash(request.tenant)};
}

TurnRequest turn_request(const PlacementRequest& request) {
  return {key_of(request), stable_hash(request.route), request.slot_time};
}

KindOfRequest kind_of(const PlacementRequest& request) {
  return {request.selection.service, request.route, request.priority};
}

}  // namespace

void FairShares::configure(const ServingConfiguration& configuration) {
  double sum = 0;
  double limited = 0;
  for (const Tenant& tenant : configuration.tenants.tenants()) {
    if (tenant.limit.unlimited()) continue;
    sum += tenant.limit.per_second;
    ++limited;
  }
  // What a tenant may ask for is what it was promised; the mean is what one without a limit gets.
  std::unordered_map<std::uint64_t, double> weights;
  std::uint32_t least_urgent_tenant = 0;
  for (const Tenant& tenant : configuration.tenants.tenants()) {
    least_urgent_tenant = std::max(least_urgent_tenant, tenant.priority.value_or(0));
    if (tenant.limit.unlimited()) continue;
    weights[stable_hash(tenant.name)] = tenant.limit.per_second * limited / sum;
  }
  ledger_.set_weights(std::move(weights));
  has_tenants_ = !configuration.tenants.tenants().empty();
  least_urgent_.clear();
  for (const Route& route : configuration.routes) {
    if (route.kind == RouteKind::kBatch) continue;
    for (const WeightedService& target : route.services) {
      std::uint32_t& least = least_urgent_[target.service];
      least = std::max({least, route.priority, least_urgent_tenant});
    }
  }
}

void FairShares::add_to(PlacementDecisions& decisions) {
  decisions.turn = [this](const PlacementRequest& request, TimePoint now) {
    return turn(request, now);
  };
  decisions.placed = [this](const PlacementRequest& request, TimePoint now) {
    placed(request, now);
  };
  decisions.left = [this](const PlacementRequest& request, TimePoint now) { left(request, now); };
  decisions.yields = [this](const PlacementRequest& request) { return yields(request); };
  // Tenants' shares come first: newcomers of the others are not put beside those of a flood.
  decisions.may_leave_to_returned = [this](const PlacementRequest& request) {
    return !has_tenants_ && is_least_urgent(request);
  };
}

double FairShares::turn(const PlacementRequest& request, TimePoint now) {
  if (now - looked_after_ > kUpkeepInterval) {
    looked_after_ = now;
    turns_.forget(now);
    log_inversions(now);
  }
  if (!policy_.shares_fairly) {
    turns_.count_waiting(turn_request(request), now);
    return 0;
  }
  const double turn = turns_.arrive(turn_request(request), now);
  if (turn >= kAbovePart) log_above(request, now);
  return turn;
}

void FairShares::placed(const PlacementRequest& request, TimePoint now) {
  const Duration given = turns_.placed(turn_request(request), now);
  count_of(request).given_seconds += to_seconds(given);
  const bool in_time = now < request.due;
  kinds_.count(kind_of(request), in_time ? KindOutcome::kInTime : KindOutcome::kLate, now);
}

void FairShares::left(const PlacementRequest& request, TimePoint now) {
  turns_.left(turn_request(request));
  // An item that found no slot asks again.
  if (request.work == WorkClass::kBatch) return;
  kinds_.count(kind_of(request), KindOutcome::kNotPlaced, now);
}

/// Other nodes do not hear of priorities, so only the least urgent online work yields to theirs.
bool FairShares::yields(const PlacementRequest& request) const {
  return request.turn >= kAbovePart && request.work == WorkClass::kOnline &&
         is_least_urgent(request);
}

bool FairShares::is_least_urgent(const PlacementRequest& request) const {
  const auto least = least_urgent_.find(request.selection.service);
  return least != least_urgent_.end() && request.priority >= least->second;
}

DigestPart FairShares::digest_part() {
  return {.add = [this](LoadDigest& digest, bool thorough,
                        TimePoint now) { report(digest, thorough, now); },
          .take = [this](const LoadDigest& digest, TimePoint now) { take(digest, now); }};
}

void FairShares::report(LoadDigest& digest, bool thorough, TimePoint now) const {
  if (!policy_.shares_fairly) return;
  const Duration age = thorough ? kRepeatedThoroughly : kRepeated;
  digest.share_uses = ledger_.changes(age, kMostInDigest, now);
}

void FairShares::take(const LoadDigest& digest, TimePoint now) {
  for (const ShareUse& use : digest.share_uses) ledger_.take(digest.sender, use, now);
}

FairShares::TenantCount& FairShares::count_of(const PlacementRequest& request) {
  const auto name = std::pair(request.selection.service, request.tenant);
  const bool room = tenants_.size() < kMaxRows || tenants_.contains(name);
  TenantCount& count = tenants_[room ? name : std::pair(request.selection.service, "other")];
  if (room) count.key = key_of(request);
  return count;
}

void FairShares::log_above(const PlacementRequest& request, TimePoint now) {
  TenantCount& count = count_of(request);
  if (count.told != TimePoint{} && now - count.told < kToldAgain) return;
  count.told = now;
  const ShareKey key = key_of(request);
  log_event(Event::kTenantAboveShare,
            {{"service", request.selection.service},
             {"tenant", request.tenant},
             {"route", request.route},
             {"times_part", decimal_text(turns_.over_part(key, now))},
             {"waiting_slot_s", decimal_text(ledger_.waiting_seconds(key))}});
}

void FairShares::log_inversions(TimePoint now) {
  for (const KindInversion& inversion : kinds_.inversions(now)) {
    log_event(Event::kUrgentKindServedLess,
              {{"service", inversion.urgent.service},
               {"route", inversion.urgent.route},
               {"served", decimal_text(inversion.urgent_served)},
               {"other_route", inversion.other.route},
               {"other_served", decimal_text(inversion.other_served)}});
  }
}

std::vector<TenantShareRow> FairShares::tenant_rows(TimePoint now) const {
  std::vector<TenantShareRow> rows;
  for (const auto& [name, count] : tenants_) {
    rows.push_back({name.first, name.second, ledger_.waiting_seconds(count.key),
                    count.given_seconds, turns_.over_part(count.key, now)});
  }
  return rows;
}

}  // namespace stoathold
