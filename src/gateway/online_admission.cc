#include "gateway/online_admission.h"

#include <algorithm>
#include <sstream>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"
#include "base/random.h"
#include "base/saturated.h"

namespace stoathold {
namespace {

/// The count of a service's slots is used again for so long: one pass over the queue asks for it
/// once for each request.
constexpr Duration kRoomLifetime = std::chrono::milliseconds(5);
/// Most callers told to come back that one digest reports, 19 bytes each: it stays below the size
/// of a datagram.
constexpr std::size_t kMostReturnReports = 16;
/// Batch gives its slots back within this time, so that no more of them stay free for callers that
/// are expected than come within it.
constexpr Duration kBatchYields = std::chrono::milliseconds(200);
/// Most tenants with metrics of their own; the others are counted together.
constexpr std::size_t kMostTenantRows = 200;
constexpr const char* kOtherTenants = "(others)";
/// Most requests of one service on the page of those that wait.
constexpr std::size_t kMostListed = 100;

std::uint8_t as_priority(std::uint32_t priority) {
  return saturated<std::uint8_t>(priority);
}

}  // namespace

OnlineAdmission::OnlineAdmission(const LoadPolicy& policy, const RunnerRegistry& registry,
                                 PlacementQueue& placement, std::string zone)
    : policy_(policy), registry_(registry), placement_(placement), zone_(std::move(zone)) {
  placement_.decisions().reviews = [this] { return active(); };
  placement_.decisions().review = [this](const PlacementRequest& request,
                                         const QueuePosition& position,
                                         TimePoint now) { return review(request, position, now); };
  placement_.decisions().batch_leaves = [this](const std::string& service, TimePoint now) {
    const std::uint32_t slots = active() ? room_of(service, now).zone : 0;
    return slots == 0 ? 0.0 : expected_within(service, kBatchYields, now) * 1.0 / slots;
  };
  placement_.decisions().returns_due = [this](const std::string& service) {
    return expected_within(service, Duration{0}, monotonic_now()) > 0;
  };
  placement_.decisions().waits = [this](const PlacementRequest& request,
                                        const QueuePosition& position, TimePoint now) {
    const auto inputs = inputs_of(request, position, now);
    if (inputs) counters_.predicted_wait.observe(inputs->forecast.wait);
  };
}

AdmissionStanding OnlineAdmission::arrived(const std::string& service, const std::string& tenant,
                                           std::uint32_t priority,
                                           std::optional<ContentHash> content) {
  const TimePoint now = monotonic_now();
  if (content && returning_.take(value_of(*content), now)) {
    ++counters_.came;
    ++tenant_row(tenant)["came"];
    return AdmissionStanding::kReturned;
  }
  backlog_.count_arrival(stable_hash(service), as_priority(priority), now);
  return AdmissionStanding::kNewcomer;
}

void OnlineAdmission::freed(const SlotUse& use) {
  backlog_.count_freed(stable_hash(use.service), as_priority(use.priority), use.held,
                       monotonic_now());
  if (use.whole) slot_times_.observe(use.route, use.held);
}

void OnlineAdmission::told(ContentHash content, const std::string& service,
                           const std::string& tenant, const PlacementRejection& rejection) {
  ++counters_.told;
  ++tenant_row(tenant)["told"];
  if (!rejection.promised || !rejection.retry_after) return;
  ++counters_.promised;
  const TimePoint now = monotonic_now();
  returning_.tell(value_of(content), stable_hash(service), now + *rejection.retry_after, now);
}

std::uint32_t OnlineAdmission::expected_within(const std::string& service, Duration ahead,
                                               TimePoint now) const {
  if (returning_.empty()) return 0;
  std::uint32_t expected = 0;
  const std::uint64_t hash = stable_hash(service);
  // Those of the bin that has begun, or is just over, may be on their way.
  for (Duration at = -ReturningCallers::kBookingBin; at <= ahead;
       at += ReturningCallers::kBookingBin) {
    expected += returning_.expected_at(hash, now + at);
  }
  return expected;
}

OnlineAdmission::TenantSteps& OnlineAdmission::tenant_row(const std::string& tenant) {
  const bool known = counters_.tenants.contains(tenant);
  return counters_
      .tenants[known || counters_.tenants.size() < kMostTenantRows ? tenant : kOtherTenants];
}

SlotRoom OnlineAdmission::room_of(const std::string& service, TimePoint now) {
  CountedRoom& known = rooms_[service];
  const bool fresh = known.counted != TimePoint{} && now - known.counted < kRoomLifetime;
  if (!fresh) known = {count_room(service, now), now};
  return known.room;
}

SlotRoom OnlineAdmission::count_room(const std::string& service, TimePoint now) const {
  SlotRoom room;
  for (const auto& runner : registry_.of_service(service)) {
    if (!runner->usable(now)) continue;
    const std::string& zone = runner->record().zone;
    if (zone == zone_) {
      room.zone += runner->slots() - std::min(runner->slots(), runner->lent());
      room.of_batch += runner->preemptible();
    } else if (registry_.lending() && registry_.zone_lends(zone) && runner->zone_load_known(now)) {
      const double free_part = std::max(0.0, 1 - runner->load(now));
      room.spare_elsewhere += static_cast<std::uint32_t>(free_part * runner->slots());
    }
  }
  return room;
}

std::optional<RejectionInputs> OnlineAdmission::inputs_of(const PlacementRequest& request,
                                                          const QueuePosition& position,
                                                          TimePoint now) {
  const std::string& service = request.selection.service;
  const std::uint64_t hash = stable_hash(service);
  RejectionInputs inputs;
  inputs.figures = backlog_.figures(hash, as_priority(request.priority), now);
  inputs.room = room_of(service, now);
  const ArrivalSwing* swing = backlog_.swing(hash, now);
  inputs.arrivals_per_second = swing == nullptr ? 0 : swing->rate();
  const auto forecast =
      predict_wait(position, inputs.figures, inputs.room, inputs.arrivals_per_second);
  if (!forecast) return std::nullopt;
  inputs.forecast = *forecast;
  return inputs;
}

std::optional<ReturnTime> OnlineAdmission::return_time(const PlacementRequest& request,
                                                       const RejectionInputs& inputs,
                                                       TimePoint now) {
  const std::uint64_t service = stable_hash(request.selection.service);
  return choose_return({.service = service,
                        .now = now,
                        .deadline = request.deadline,
                        .first_event = request.first_event,
                        .wait = inputs.forecast.wait,
                        .freed_per_second = freed_per_second(inputs.figures, inputs.room.zone),
                        .swing = backlog_.swing(service, now)},
                       returning_, process_random());
}

std::optional<PlacementRejection> OnlineAdmission::review(const PlacementRequest& request,
                                                          const QueuePosition& position,
                                                          TimePoint now) {
  if (!active() || request.last_start == TimePoint{}) return std::nullopt;
  const auto inputs = inputs_of(request, position, now);
  WaitReview wait{.standing = request.standing,
                  .arrival = request.arrival,
                  .due = request.due,
                  .last_start = request.last_start,
                  .forecast = std::nullopt,
                  .retry_after = std::nullopt};
  if (inputs) wait.forecast = inputs->forecast;
  auto reason = review_wait(wait, now);
  if (!reason) return std::nullopt;
  const RejectionInputs known = inputs.value_or(RejectionInputs{});
  const auto back = return_time(request, known, now);
  if (back) wait.retry_after = back->after;
  reason = review_wait(wait, now);
  if (!reason) return std::nullopt;
  log_event(Event::kWaitRejected,
            {{"service", request.selection.service},
             {"route", request.route},
             {"tenant", request.tenant},
             {"reason", std::string(to_string(*reason))},
             {"returned", request.standing == AdmissionStanding::kReturned ? "yes" : "no"},
             {"age_ms", milliseconds_text(now - request.arrival)},
             {"due_ms", milliseconds_text(request.due - now)},
             {"last_start_ms", milliseconds_text(request.last_start - now)},
             {"predicted_ms", inputs ? milliseconds_text(known.forecast.wait) : "unknown"},
             {"ahead", std::to_string(known.forecast.ahead)},
             {"ahead_here", std::to_string(position.ahead.requests)},
             {"waiting_peers", std::to_string(known.figures.peers.requests)},
             {"oldest_report_ms", milliseconds_text(known.figures.oldest_report)},
             {"slots", std::to_string(known.room.zone)},
             {"of_batch", std::to_string(known.room.of_batch)},
             {"spare_elsewhere", std::to_string(known.room.spare_elsewhere)},
             {"slot_ms", milliseconds_text(known.figures.slot_time.value_or(Duration{0}))},
             {"arrivals_per_s", decimal_text(known.arrivals_per_second)},
             {"retry_after_ms", wait.retry_after ? milliseconds_text(*wait.retry_after) : "none"},
             {"promised", back && back->promised ? "yes" : "no"}});
  counters_.of_batch_when_rejected += known.room.of_batch;
  counters_.rejected_beside_batch += known.room.of_batch > 0 ? 1 : 0;
  ++tenant_row(request.tenant)[to_string(*reason)];
  return PlacementRejection{*reason, wait.retry_after, back && back->promised};
}

void OnlineAdmission::add_reports(LoadDigest& digest, TimePoint now) {
  if (!active()) return;
  digest.backlogs = backlog_.report(placement_.waiting_in_time(now));
  digest.returns = returning_.report(kMostReturnReports, now);
}

void OnlineAdmission::take_reports(const LoadDigest& digest, TimePoint now) {
  backlog_.take(digest.sender, digest.backlogs, now);
  for (const ReturnReport& report : digest.returns) returning_.take_report(report, now);
}

std::string OnlineAdmission::waiting_page() {
  const TimePoint now = monotonic_now();
  std::ostringstream page;
  for (const auto& [service, waits] : placement_.online_waits(now)) {
    page << "service=" << service << " waiting=" << waits.waiting << " in_time=" << waits.in_time
         << " returned=" << waits.returned << " oldest_ms=" << milliseconds_text(waits.oldest)
         << " slots=" << room_of(service, now).zone << "\n";
    std::size_t listed = 0;
    const auto list = [&](const PlacementRequest& request, const QueuePosition& position) {
      if (++listed > kMostListed) return;
      const auto inputs = inputs_of(request, position, now);
      page << "  route=" << request.route << " tenant=" << request.tenant
           << " priority=" << request.priority << " turn=" << decimal_text(request.turn)
           << " waited_ms=" << milliseconds_text(now - request.arrival)
           << " due_ms=" << milliseconds_text(request.due - now)
           << " ahead_here=" << position.ahead.requests;
      if (inputs) {
        page << " ahead_zone=" << inputs->forecast.ahead
             << " predicted_ms=" << milliseconds_text(inputs->forecast.wait)
             << " oldest_report_ms=" << milliseconds_text(inputs->figures.oldest_report);
      }
      page << (request.standing == AdmissionStanding::kReturned ? " returned\n" : "\n");
    };
    placement_.visit_online(service, list, now);
  }
  return page.str();
}

}  // namespace stoathold
