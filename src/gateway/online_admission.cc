#include "gateway/online_admission.h"

#include <algorithm>
#include <sstream>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"
#include "base/random.h"
#include "base/saturating_cast.h"

namespace stoathold {
namespace {

/// Lifetime of a cached slot count of a service: one pass over the queue needs the count once for
/// each request.
constexpr Duration kCapacityCacheTtl = std::chrono::milliseconds(5);
/// Maximum number of expected retries in one digest. At 19 bytes each, the digest stays below the
/// size of a datagram.
constexpr std::size_t kMaxRetryReports = 16;
/// Time within which batch releases its slots when asked. Slots therefore need to be kept free only
/// for the retries that are expected within this time.
constexpr Duration kBatchPreemptionTime = std::chrono::milliseconds(200);
/// Maximum number of tenants with metrics of their own; the others are counted together.
constexpr std::size_t kMaxTenantRows = 200;
constexpr const char* kOtherTenants = "(others)";
/// Maximum number of requests of one service in the listing of waiting requests.
constexpr std::size_t kMaxListedRequests = 100;

std::uint8_t saturated_priority(std::uint32_t priority) {
  return saturating_cast<std::uint8_t>(priority);
}

}  // namespace

OnlineAdmission::OnlineAdmission(const LoadPolicy& policy, const RunnerRegistry& registry,
                                 PlacementQueue& placement, std::string zone)
    : policy_(policy), registry_(registry), placement_(placement), zone_(std::move(zone)) {
  placement_.placement_policy().reviews_enabled = [this] { return active(); };
  placement_.placement_policy().review = [this](const PlacementRequest& request,
                                                const QueuePosition& position, TimePoint now) {
    return review(request, position, now);
  };
  placement_.placement_policy().batch_reserve_fraction = [this](const std::string& service,
                                                                TimePoint now) {
    const std::uint32_t slots = active() ? slot_capacity(service, now).zone : 0;
    return slots == 0 ? 0.0
                      : expected_retries_within(service, kBatchPreemptionTime, now) * 1.0 / slots;
  };
  placement_.placement_policy().expects_booked_retries = [this](const std::string& service) {
    return expected_retries_within(service, Duration{0}, monotonic_now()) > 0;
  };
  placement_.placement_policy().on_queued = [this](const PlacementRequest& request,
                                                   const QueuePosition& position, TimePoint now) {
    const auto inputs = rejection_inputs(request, position, now);
    if (inputs) counters_.predicted_wait.observe(inputs->forecast.wait);
  };
}

AdmissionClass OnlineAdmission::classify_arrival(const std::string& service,
                                                 const std::string& tenant, std::uint32_t priority,
                                                 std::optional<ContentHash> content) {
  const TimePoint now = monotonic_now();
  if (content && retry_bookings_.consume(value_of(*content), now)) {
    ++counters_.retried;
    ++tenant_counts(tenant)["came"];
    return AdmissionClass::kBookedRetry;
  }
  backlog_.record_arrival(stable_hash(service), saturated_priority(priority), now);
  return AdmissionClass::kNewRequest;
}

void OnlineAdmission::record_slot_release(const SlotRelease& release) {
  backlog_.record_freed_slot(stable_hash(release.service), saturated_priority(release.priority),
                             release.hold_time, monotonic_now());
  if (release.completed) slot_times_.observe(release.route, release.hold_time);
}

void OnlineAdmission::record_retry_advice(ContentHash content, const std::string& service,
                                          const std::string& tenant,
                                          const PlacementRejection& rejection) {
  ++counters_.retry_advised;
  ++tenant_counts(tenant)["told"];
  if (!rejection.has_booking || !rejection.retry_after) return;
  ++counters_.promised;
  const TimePoint now = monotonic_now();
  retry_bookings_.book(value_of(content), stable_hash(service), now + *rejection.retry_after, now);
}

std::uint32_t OnlineAdmission::expected_retries_within(const std::string& service, Duration ahead,
                                                       TimePoint now) const {
  if (retry_bookings_.empty()) return 0;
  std::uint32_t expected = 0;
  const std::uint64_t hash = stable_hash(service);
  // Retries of the current and of the previous booking bin may still be in transit.
  for (Duration at = -RetryBookings::kBookingBin; at <= ahead; at += RetryBookings::kBookingBin) {
    expected += retry_bookings_.booked_at(hash, now + at);
  }
  return expected;
}

OnlineAdmission::TenantStepCounts& OnlineAdmission::tenant_counts(const std::string& tenant) {
  const bool known = counters_.tenants.contains(tenant);
  return counters_
      .tenants[known || counters_.tenants.size() < kMaxTenantRows ? tenant : kOtherTenants];
}

SlotCapacity OnlineAdmission::slot_capacity(const std::string& service, TimePoint now) {
  CachedCapacity& entry = capacity_cache_[service];
  const bool fresh = entry.counted_at != TimePoint{} && now - entry.counted_at < kCapacityCacheTtl;
  if (!fresh) entry = {count_slot_capacity(service, now), now};
  return entry.capacity;
}

SlotCapacity OnlineAdmission::count_slot_capacity(const std::string& service, TimePoint now) const {
  SlotCapacity capacity;
  for (const auto& runner : registry_.for_service(service, zone_)) {
    if (!runner->usable(now)) continue;
    capacity.zone += runner->slots() - std::min(runner->slots(), runner->lent());
    capacity.preemptible_batch += runner->preemptible();
  }
  if (!registry_.lending()) return capacity;
  for (const auto& runner : registry_.for_service(service)) {
    const std::string& zone = runner->record().zone;
    const bool lends = zone != zone_ && registry_.zone_lends(zone);
    if (!lends || !runner->zone_load_known(now) || !runner->usable(now)) continue;
    const double free_part = std::max(0.0, 1 - runner->load(now));
    capacity.lent_by_other_zones += static_cast<std::uint32_t>(free_part * runner->slots());
  }
  return capacity;
}

std::optional<RejectionInputs> OnlineAdmission::rejection_inputs(const PlacementRequest& request,
                                                                 const QueuePosition& position,
                                                                 TimePoint now) {
  const std::string& service = request.selection.service;
  const std::uint64_t hash = stable_hash(service);
  RejectionInputs inputs;
  inputs.figures = backlog_.statistics(hash, saturated_priority(request.priority), now);
  inputs.capacity = slot_capacity(service, now);
  const ArrivalRateForecaster* forecaster = backlog_.arrival_forecaster(hash, now);
  inputs.arrivals_per_second = forecaster == nullptr ? 0 : forecaster->recent_rate();
  const auto forecast =
      predict_wait(position, inputs.figures, inputs.capacity, inputs.arrivals_per_second);
  if (!forecast) return std::nullopt;
  inputs.forecast = *forecast;
  return inputs;
}

std::optional<RetryTime> OnlineAdmission::retry_time_for(const PlacementRequest& request,
                                                         const RejectionInputs& inputs,
                                                         TimePoint now) {
  const std::uint64_t service = stable_hash(request.selection.service);
  return choose_retry_time(
      {.service = service,
       .now = now,
       .deadline = request.deadline,
       .first_event = request.first_event,
       .wait = inputs.forecast.wait,
       .slots_freed_per_second = slots_freed_per_second(inputs.figures, inputs.capacity.zone),
       .forecaster = backlog_.arrival_forecaster(service, now)},
      retry_bookings_, process_random());
}

std::optional<PlacementRejection> OnlineAdmission::review(const PlacementRequest& request,
                                                          const QueuePosition& position,
                                                          TimePoint now) {
  if (!active() || request.latest_start == TimePoint{}) return std::nullopt;
  const auto inputs = rejection_inputs(request, position, now);
  AdmissionInput wait{.admission_class = request.admission_class,
                      .arrival = request.arrival,
                      .due = request.due,
                      .latest_start = request.latest_start,
                      .forecast = std::nullopt,
                      .retry_after = std::nullopt};
  if (inputs) wait.forecast = inputs->forecast;
  auto reason = check_admission(wait, now);
  if (!reason) return std::nullopt;
  const RejectionInputs known_inputs = inputs.value_or(RejectionInputs{});
  const auto retry = retry_time_for(request, known_inputs, now);
  if (retry) wait.retry_after = retry->delay;
  reason = check_admission(wait, now);
  if (!reason) return std::nullopt;
  log_event(Event::kWaitRejected,
            {{"service", request.selection.service},
             {"route", request.route},
             {"tenant", request.tenant},
             {"reason", std::string(to_string(*reason))},
             {"returned", request.admission_class == AdmissionClass::kBookedRetry ? "yes" : "no"},
             {"age_ms", milliseconds_text(now - request.arrival)},
             {"due_ms", milliseconds_text(request.due - now)},
             {"last_start_ms", milliseconds_text(request.latest_start - now)},
             {"predicted_ms", inputs ? milliseconds_text(known_inputs.forecast.wait) : "unknown"},
             {"ahead", std::to_string(known_inputs.forecast.ahead)},
             {"ahead_here", std::to_string(position.ahead.requests)},
             {"waiting_peers", std::to_string(known_inputs.figures.peers.requests)},
             {"oldest_report_ms", milliseconds_text(known_inputs.figures.oldest_report)},
             {"slots", std::to_string(known_inputs.capacity.zone)},
             {"of_batch", std::to_string(known_inputs.capacity.preemptible_batch)},
             {"spare_elsewhere", std::to_string(known_inputs.capacity.lent_by_other_zones)},
             {"slot_ms", milliseconds_text(known_inputs.figures.slot_time.value_or(Duration{0}))},
             {"arrivals_per_s", decimal_text(known_inputs.arrivals_per_second)},
             {"retry_after_ms", wait.retry_after ? milliseconds_text(*wait.retry_after) : "none"},
             {"promised", retry && retry->has_booking ? "yes" : "no"}});
  counters_.batch_slots_at_rejections += known_inputs.capacity.preemptible_batch;
  counters_.rejections_with_batch_slots += known_inputs.capacity.preemptible_batch > 0 ? 1 : 0;
  ++tenant_counts(request.tenant)[to_string(*reason)];
  return PlacementRejection{*reason, wait.retry_after, retry && retry->has_booking};
}

void OnlineAdmission::add_reports(LoadDigest& digest, TimePoint now) {
  if (!active()) return;
  digest.backlogs = backlog_.report(placement_.waiting_in_time(now));
  digest.returns = retry_bookings_.report(kMaxRetryReports, now);
}

void OnlineAdmission::apply_reports(const LoadDigest& digest, TimePoint now) {
  backlog_.apply_report(digest.sender, digest.backlogs, now);
  for (const RetryBookingReport& report : digest.returns) retry_bookings_.apply_report(report, now);
}

std::string OnlineAdmission::render_waiting_requests() {
  const TimePoint now = monotonic_now();
  std::ostringstream page;
  for (const auto& [service, waits] : placement_.online_waits(now)) {
    page << "service=" << service << " waiting=" << waits.waiting << " in_time=" << waits.in_time
         << " returned=" << waits.returned << " oldest_ms=" << milliseconds_text(waits.oldest)
         << " slots=" << slot_capacity(service, now).zone << "\n";
    std::size_t listed = 0;
    const auto list = [&](const PlacementRequest& request, const QueuePosition& position) {
      if (++listed > kMaxListedRequests) return;
      const auto inputs = rejection_inputs(request, position, now);
      page << "  route=" << request.route << " tenant=" << request.tenant
           << " priority=" << request.priority << " turn=" << decimal_text(request.fair_share_rank)
           << " waited_ms=" << milliseconds_text(now - request.arrival)
           << " due_ms=" << milliseconds_text(request.due - now)
           << " ahead_here=" << position.ahead.requests;
      if (inputs) {
        page << " ahead_zone=" << inputs->forecast.ahead
             << " predicted_ms=" << milliseconds_text(inputs->forecast.wait)
             << " oldest_report_ms=" << milliseconds_text(inputs->figures.oldest_report);
      }
      page << (request.admission_class == AdmissionClass::kBookedRetry ? " returned\n" : "\n");
    };
    placement_.visit_online(service, list, now);
  }
  return page.str();
}

}  // namespace stoathold
