/// @file
/// Whether a request that found no slot waits on or is rejected.
#pragma once

#include <cstdint>
#include <optional>

#include "admission/placement_rejection.h"
#include "admission/zone_backlog.h"
#include "base/time.h"

namespace stoathold {

/// What is known of a request from before it came to this wait.
enum class AdmissionStanding : std::uint8_t {
  kNewcomer,
  kReturned,  ///< Its caller came back as its Retry-After said.
  kBegun,     ///< It has run or its answer has begun: rejected, it would be broken off.
};

/// Where a request stands among what waits at its node for its service and can be in time.
struct QueuePosition {
  QueuedWork ahead;  ///< In time, before the request in the queue's order.
  QueuedWork all;    ///< In time, the request counted in if it is.
};

/// The slots of a service.
struct SlotRoom {
  std::uint32_t zone = 0;             ///< Of this zone.
  std::uint32_t spare_elsewhere = 0;  ///< Free ones of other zones that lend.
  std::uint32_t of_batch = 0;         ///< Of this zone, held by batch items that would yield.
};

/// When a request gets a slot, as predicted.
struct WaitForecast {
  std::uint32_t ahead = 0;          ///< Requests in time that go before it, in the zone.
  Duration wait{0};                 ///< Until it gets a slot, if nothing further goes before it.
  std::optional<Duration> to_idle;  ///< Until nothing in time waits; nothing: it grows.
};

/// Returns the slots that come free in a second while all are taken: those of the zone, or more if
/// other zones lend some. 0: unknown.
double freed_per_second(const ServiceFigures& figures, std::uint32_t slots);

/// Predicts the wait for a slot.
/// @return nothing if a figure is missing.
std::optional<WaitForecast> predict_wait(const QueuePosition& position,
                                         const ServiceFigures& figures, const SlotRoom& room,
                                         double arrivals_per_second);

/// What a decision depends on.
struct WaitReview {
  AdmissionStanding standing = AdmissionStanding::kNewcomer;
  TimePoint arrival{};
  TimePoint due{};         ///< In time if it has a slot by then.
  TimePoint last_start{};  ///< With a slot later than this, its first event finds its caller gone.
  std::optional<WaitForecast> forecast;
  std::optional<Duration> retry_after;  ///< That its refusal would name.
};

/// Returns why a request is rejected now; nothing: it waits on. Pure.
std::optional<RejectionReason> review_wait(const WaitReview& review, TimePoint now);

}  // namespace stoathold
