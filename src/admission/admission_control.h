/// @file
/// Decides whether a request that found no free slot keeps waiting or is rejected.
#pragma once

#include <cstdint>
#include <optional>

#include "admission/placement_rejection.h"
#include "admission/zone_backlog.h"
#include "base/time.h"

namespace stoathold {

/// How a request entered the queue, as far as this affects its admission.
enum class AdmissionClass : std::uint8_t {
  kNewRequest,
  kBookedRetry,  ///< Its caller retried at the time given by its Retry-After.
  /// It has run, or the caller has a part of its response; rejecting it would abort that response.
  kStarted,
};

/// Position of a request among the requests for its service that are queued at its node and can
/// still be on time.
struct QueuePosition {
  QueuedWork ahead;  ///< On-time work before the request in queue order.
  QueuedWork all;    ///< All on-time work, including the request itself if it is on time.
};

/// Slots of a service that a queued request can use.
struct SlotCapacity {
  std::uint32_t zone = 0;                 ///< All slots in this zone.
  std::uint32_t lent_by_other_zones = 0;  ///< Free slots that other zones lend.
  std::uint32_t preemptible_batch =
      0;  ///< Slots in this zone held by batch items that would yield.
};

/// Predicted wait for a slot.
struct WaitForecast {
  std::uint32_t ahead = 0;  ///< Requests that can be on time and precede it, in the whole zone.
  Duration wait{0};         ///< Time until it gets a slot if nothing else overtakes it.
  std::optional<Duration> time_to_drain;  ///< Time until on-time work is gone; empty if it grows.
};

/// Returns the slots that become free per second while all are in use: the rate of the zone's own
/// slots, or the measured rate if that is higher because other zones lend slots. Returns 0 if
/// unknown.
double slots_freed_per_second(const ServiceStatistics& statistics, std::uint32_t slots);

/// Predicts the wait for a slot.
/// @return nothing if the slot time or the number of slots is unknown.
std::optional<WaitForecast> predict_wait(const QueuePosition& position,
                                         const ServiceStatistics& statistics,
                                         const SlotCapacity& capacity, double arrivals_per_second);

/// Inputs of the admission decision.
struct AdmissionInput {
  AdmissionClass admission_class = AdmissionClass::kNewRequest;
  TimePoint arrival{};
  TimePoint due{};           ///< The request is on time if it has a slot by then.
  TimePoint latest_start{};  ///< With a later slot, the caller gives up before the first event.
  std::optional<WaitForecast> forecast;
  std::optional<Duration> retry_after;  ///< Retry-After that a rejection would carry.
};

/// Returns why the request is rejected now, or nothing if it keeps waiting. Has no side effects.
std::optional<RejectionReason> check_admission(const AdmissionInput& input, TimePoint now);

}  // namespace stoathold
