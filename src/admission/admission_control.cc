#include "admission/admission_control.h"

#include <algorithm>

namespace stoathold {
namespace {

/// A new request is admitted if its predicted wait is at most this fraction of the time left until
/// it is due. The prediction is a mean: at a fraction of 1, half of the requests admitted last
/// would be late. tests/admission/admission_simulation_test.cc compares values.
constexpr double kAdmissibleWaitFraction = 0.8;
/// Once a request has waited for this fraction of the time from its arrival to its due time,
/// rejecting it like a new request no longer helps: a late slot that is expected before its retry
/// serves the caller sooner.
constexpr double kLongWaitFraction = 0.25;

/// Returns whether a slot that no on-time request needs is expected soon and before the caller
/// would retry. A forecast further ahead than the objective is too unreliable, because it depends
/// on future arrivals.
bool late_slot_precedes_retry(const AdmissionInput& input, TimePoint now) {
  const WaitForecast& forecast = *input.forecast;
  const Duration waited = now - input.arrival;
  const Duration objective = input.due - input.arrival;
  if (waited < scale(objective, kLongWaitFraction)) return false;
  if (!forecast.time_to_drain || *forecast.time_to_drain > objective) return false;
  if (now + *forecast.time_to_drain > input.latest_start) return false;
  return !input.retry_after || *forecast.time_to_drain < *input.retry_after;
}

}  // namespace

double slots_freed_per_second(const ServiceStatistics& statistics, std::uint32_t slots) {
  if (!statistics.slot_time || statistics.slot_time->count() <= 0) return 0;
  return std::max(slots / to_seconds(*statistics.slot_time), statistics.slots_freed_per_second);
}

std::optional<WaitForecast> predict_wait(const QueuePosition& position,
                                         const ServiceStatistics& statistics,
                                         const SlotCapacity& capacity, double arrivals_per_second) {
  if (!statistics.slot_time || statistics.slot_time->count() <= 0 || capacity.zone == 0)
    return std::nullopt;
  // Nodes receive slots in proportion to their queue lengths, so the fraction of this node's queue
  // that precedes the request also holds for the rest of the zone.
  const double node_fraction =
      position.all.requests == 0
          ? 1
          : std::min(1.0, (position.ahead.requests + 1.0) / position.all.requests);
  const double requests_ahead = position.ahead.requests + node_fraction * statistics.peers.requests;
  const Duration time_ahead =
      position.ahead.slot_time + scale(statistics.peers.slot_time, node_fraction);
  // Queued requests can use slots lent by other zones and slots that batch items release
  // immediately, so that many fewer requests are ahead in this zone.
  const double immediately_available = capacity.lent_by_other_zones + capacity.preemptible_batch;
  const double remaining_fraction =
      requests_ahead > 0 ? std::max(0.0, 1 - immediately_available / requests_ahead) : 0;
  WaitForecast forecast;
  forecast.ahead = static_cast<std::uint32_t>(requests_ahead * remaining_fraction);
  const double freed = slots_freed_per_second(statistics, capacity.zone);
  forecast.wait =
      scale(time_ahead, remaining_fraction / (freed * to_seconds(*statistics.slot_time)));
  const double spare = freed - arrivals_per_second;
  if (spare > 0) {
    const double waiting = position.all.requests + statistics.peers.requests;
    forecast.time_to_drain = scale(std::chrono::seconds(1), waiting / spare);
  }
  return forecast;
}

std::optional<RejectionReason> check_admission(const AdmissionInput& input, TimePoint now) {
  if (input.admission_class == AdmissionClass::kStarted) return std::nullopt;
  if (now > input.latest_start) return RejectionReason::kTooLate;
  if (!input.forecast) return std::nullopt;
  const WaitForecast& forecast = *input.forecast;
  if (now + forecast.wait > input.latest_start) return RejectionReason::kTooLate;
  if (input.admission_class == AdmissionClass::kBookedRetry) return std::nullopt;
  // No other request that can still be on time needs the next slot.
  if (forecast.ahead == 0) return std::nullopt;
  const Duration remaining = input.due - now;
  if (forecast.wait <= scale(remaining, kAdmissibleWaitFraction)) return std::nullopt;
  if (late_slot_precedes_retry(input, now)) return std::nullopt;
  return RejectionReason::kOverloaded;
}

}  // namespace stoathold
