#include "admission/admission_control.h"

#include <algorithm>

namespace stoathold {
namespace {

/// A newcomer waits if its predicted wait takes at most this part of the time that it has: the
/// prediction is a mean, and were all of the time promised, half of those last admitted would be
/// late. tests/admission/admission_replay_test.cc compares values.
constexpr double kPromisedPart = 0.8;
/// Part of the time from arrival to due after which a request has waited too long to be sent away
/// as if it had just come: a late slot that comes sooner than its return serves its caller better.
constexpr double kHeldPart = 0.25;

/// Whether a slot that nobody in time wants comes before the caller would be back, and soon: a
/// longer forecast than the objective is a guess at what will arrive.
bool late_slot_comes_first(const WaitReview& review, TimePoint now) {
  const WaitForecast& forecast = *review.forecast;
  const Duration held = now - review.arrival;
  const Duration objective = review.due - review.arrival;
  if (held < scale(objective, kHeldPart)) return false;
  if (!forecast.to_idle || *forecast.to_idle > objective) return false;
  if (now + *forecast.to_idle > review.last_start) return false;
  return !review.retry_after || *forecast.to_idle < *review.retry_after;
}

}  // namespace

double freed_per_second(const ServiceFigures& figures, std::uint32_t slots) {
  if (!figures.slot_time || figures.slot_time->count() <= 0) return 0;
  return std::max(slots / to_seconds(*figures.slot_time), figures.freed_per_second);
}

std::optional<WaitForecast> predict_wait(const QueuePosition& position,
                                         const ServiceFigures& figures, const SlotRoom& room,
                                         double arrivals_per_second) {
  if (!figures.slot_time || figures.slot_time->count() <= 0 || room.zone == 0) return std::nullopt;
  // Slots go to the nodes in proportion to what waits there, so that this node's part of the work
  // that goes before a request gives the zone's.
  const double part = position.all.requests == 0
                          ? 1
                          : std::min(1.0, (position.ahead.requests + 1.0) / position.all.requests);
  const double requests_ahead = position.ahead.requests + part * figures.peers.requests;
  const Duration time_ahead = position.ahead.slot_time + scale(figures.peers.slot_time, part);
  // What waits can have the slots that other zones lend, and those that batch items give back at
  // once: as much less is ahead here.
  const double at_once = room.spare_elsewhere + room.of_batch;
  const double left_here = requests_ahead > 0 ? std::max(0.0, 1 - at_once / requests_ahead) : 0;
  WaitForecast forecast;
  forecast.ahead = static_cast<std::uint32_t>(requests_ahead * left_here);
  const double freed = freed_per_second(figures, room.zone);
  forecast.wait = scale(time_ahead, left_here / (freed * to_seconds(*figures.slot_time)));
  const double spare = freed - arrivals_per_second;
  if (spare > 0) {
    const double waiting = position.all.requests + figures.peers.requests;
    forecast.to_idle = scale(std::chrono::seconds(1), waiting / spare);
  }
  return forecast;
}

std::optional<RejectionReason> review_wait(const WaitReview& review, TimePoint now) {
  if (review.standing == AdmissionStanding::kBegun) return std::nullopt;
  if (now > review.last_start) return RejectionReason::kPastUse;
  if (!review.forecast) return std::nullopt;
  const WaitForecast& forecast = *review.forecast;
  if (now + forecast.wait > review.last_start) return RejectionReason::kPastUse;
  if (review.standing == AdmissionStanding::kReturned) return std::nullopt;
  // Nobody who can be in time wants the next slot.
  if (forecast.ahead == 0) return std::nullopt;
  const Duration left = review.due - now;
  if (forecast.wait <= scale(left, kPromisedPart)) return std::nullopt;
  if (late_slot_comes_first(review, now)) return std::nullopt;
  return RejectionReason::kOverloaded;
}

}  // namespace stoathold
