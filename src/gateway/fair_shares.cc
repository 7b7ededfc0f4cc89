#include "gateway/fair_shares.h"

#include <algorithm>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"

namespace stoathold {
namespace {

/// Counters that changed within this time are repeated in each digest, since digests may be lost.
constexpr Duration kRepeatWindow = std::chrono::milliseconds(250);
/// The same for the full digests, which are sent less often to repair losses.
constexpr Duration kFullDigestRepeatWindow = std::chrono::seconds(6);
/// Maximum number of counters in a digest. They take 20 bytes each and share one datagram with the
/// loads.
constexpr std::size_t kMaxDigestEntries = 16;
/// Interval of the log events for a tenant that stays above its fair share.
constexpr Duration kLogInterval = std::chrono::seconds(5);
/// Interval between expiries of old usage and checks for priority inversions.
constexpr Duration kMaintenanceInterval = std::chrono::seconds(5);
/// Maximum number of pairs of service and tenant with metrics of their own; it bounds the metrics
/// page to some hundred lines for them.
constexpr std::size_t kMaxRows = 200;
/// From this rank on a tenant is above its fair share; below it the rank only orders the tenant's
/// routes.
constexpr double kAboveShare = 1;

TenantServiceKey share_key(const PlacementRequest& request) {
  const auto work = static_cast<std::uint64_t>(request.work);
  return {mix_hashes(stable_hash(request.selection.service), work), stable_hash(request.tenant)};
}

FairShareRequest ranked_request(const PlacementRequest& request) {
  return {share_key(request), stable_hash(request.route), request.slot_time};
}

RequestClass request_class(const PlacementRequest& request) {
  return {request.selection.service, request.route, request.priority};
}

}  // namespace

void FairShares::configure(const ServingConfiguration& configuration) {
  double total_limit = 0;
  double limited_tenants = 0;
  for (const Tenant& tenant : configuration.tenants.tenants()) {
    if (tenant.limit.unlimited()) continue;
    total_limit += tenant.limit.per_second;
    ++limited_tenants;
  }
  // A tenant's weight is its rate limit divided by the mean of all limits. A tenant without a limit
  // has the weight of the mean.
  std::unordered_map<std::uint64_t, double> weights;
  std::uint32_t lowest_tenant_priority = 0;
  for (const Tenant& tenant : configuration.tenants.tenants()) {
    lowest_tenant_priority = std::max(lowest_tenant_priority, tenant.priority.value_or(0));
    if (tenant.limit.unlimited()) continue;
    weights[stable_hash(tenant.name)] = tenant.limit.per_second * limited_tenants / total_limit;
  }
  ledger_.set_weights(std::move(weights));
  has_tenants_ = !configuration.tenants.tenants().empty();
  lowest_priority_.clear();
  for (const Route& route : configuration.routes) {
    if (route.kind == RouteKind::kBatch) continue;
    for (const WeightedService& target : route.services) {
      std::uint32_t& lowest = lowest_priority_[target.service];
      lowest = std::max({lowest, route.priority, lowest_tenant_priority});
    }
  }
}

void FairShares::register_with(PlacementPolicy& placement_policy) {
  placement_policy.fair_share_rank = [this](const PlacementRequest& request, TimePoint now) {
    return fair_share_rank(request, now);
  };
  placement_policy.on_placed = [this](const PlacementRequest& request, TimePoint now) {
    on_placed(request, now);
  };
  placement_policy.on_unplaced = [this](const PlacementRequest& request, TimePoint now) {
    on_unplaced(request, now);
  };
  placement_policy.yields_to_peers = [this](const PlacementRequest& request) {
    return yields_to_peers(request);
  };
  // Fair shares take precedence: with tenants, new requests are not deferred in favor of retries,
  // which may be those of a tenant that floods the service.
  placement_policy.may_yield_to_booked_retries = [this](const PlacementRequest& request) {
    return !has_tenants_ && has_lowest_priority(request);
  };
}

double FairShares::fair_share_rank(const PlacementRequest& request, TimePoint now) {
  if (now - last_maintenance_ > kMaintenanceInterval) {
    last_maintenance_ = now;
    ranker_.remove_inactive(now);
    log_inversions(now);
  }
  if (!policy_.uses_fair_shares) {
    ranker_.add_waiting(ranked_request(request), now);
    return 0;
  }
  const double rank = ranker_.add_and_rank(ranked_request(request), now);
  if (rank >= kAboveShare) log_above_share(request, now);
  return rank;
}

void FairShares::on_placed(const PlacementRequest& request, TimePoint now) {
  const Duration granted = ranker_.on_placed(ranked_request(request), now);
  counts_for(request).granted_seconds += to_seconds(granted);
  const bool in_time = now < request.due;
  inversion_monitor_.record(request_class(request),
                            in_time ? WaitOutcome::kInTime : WaitOutcome::kLate, now);
}

void FairShares::on_unplaced(const PlacementRequest& request, TimePoint now) {
  ranker_.on_unplaced(ranked_request(request));
  // A batch item that got no slot is queued again.
  if (request.work == WorkClass::kBatch) return;
  inversion_monitor_.record(request_class(request), WaitOutcome::kNotPlaced, now);
}

/// Priorities are not exchanged between nodes, so only online work of the lowest priority yields to
/// the requests of other nodes.
bool FairShares::yields_to_peers(const PlacementRequest& request) const {
  return request.fair_share_rank >= kAboveShare && request.work == WorkClass::kOnline &&
         has_lowest_priority(request);
}

bool FairShares::has_lowest_priority(const PlacementRequest& request) const {
  const auto lowest = lowest_priority_.find(request.selection.service);
  return lowest != lowest_priority_.end() && request.priority >= lowest->second;
}

DigestPart FairShares::digest_part() {
  return {.add = [this](LoadDigest& digest, bool full_digest,
                        TimePoint now) { add_to_digest(digest, full_digest, now); },
          .apply = [this](const LoadDigest& digest, TimePoint now) { apply_digest(digest, now); }};
}

void FairShares::add_to_digest(LoadDigest& digest, bool full_digest, TimePoint now) const {
  if (!policy_.uses_fair_shares) return;
  const Duration age = full_digest ? kFullDigestRepeatWindow : kRepeatWindow;
  digest.share_uses = ledger_.changes(age, kMaxDigestEntries, now);
}

void FairShares::apply_digest(const LoadDigest& digest, TimePoint now) {
  for (const SlotTimeReport& use : digest.share_uses) ledger_.apply_report(digest.sender, use, now);
}

FairShares::TenantCount& FairShares::counts_for(const PlacementRequest& request) {
  const auto name = std::pair(request.selection.service, request.tenant);
  const bool has_row = tenants_.size() < kMaxRows || tenants_.contains(name);
  TenantCount& count = tenants_[has_row ? name : std::pair(request.selection.service, "other")];
  if (has_row) count.key = share_key(request);
  return count;
}

void FairShares::log_above_share(const PlacementRequest& request, TimePoint now) {
  TenantCount& count = counts_for(request);
  if (count.last_logged != TimePoint{} && now - count.last_logged < kLogInterval) return;
  count.last_logged = now;
  const TenantServiceKey key = share_key(request);
  log_event(Event::kTenantAboveShare,
            {{"service", request.selection.service},
             {"tenant", request.tenant},
             {"route", request.route},
             {"times_part", decimal_text(ranker_.share_ratio(key, now))},
             {"waiting_slot_s", decimal_text(ledger_.waiting_seconds(key))}});
}

void FairShares::log_inversions(TimePoint now) {
  for (const PriorityInversion& inversion : inversion_monitor_.inversions(now)) {
    log_event(Event::kUrgentKindServedLess,
              {{"service", inversion.urgent.service},
               {"route", inversion.urgent.route},
               {"served", decimal_text(inversion.urgent_placed_fraction)},
               {"other_route", inversion.less_urgent.route},
               {"other_served", decimal_text(inversion.less_urgent_placed_fraction)}});
  }
}

std::vector<TenantShareRow> FairShares::tenant_rows(TimePoint now) const {
  std::vector<TenantShareRow> rows;
  for (const auto& [name, count] : tenants_) {
    rows.push_back({name.first, name.second, ledger_.waiting_seconds(count.key),
                    count.granted_seconds, ranker_.share_ratio(count.key, now)});
  }
  return rows;
}

}  // namespace stoathold
