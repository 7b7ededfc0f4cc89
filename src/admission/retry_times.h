/// @file
/// Chooses the Retry-After of a rejected request.
#pragma once

#include <optional>

#include "admission/arrival_rate_forecaster.h"
#include "admission/retry_bookings.h"
#include "base/random.h"
#include "base/time.h"

namespace stoathold {

/// Inputs for choosing a retry time.
struct RetryQuery {
  std::uint64_t service = 0;
  TimePoint now{};
  TimePoint deadline{};               ///< Deadline of the caller.
  Duration first_event{0};            ///< Usual time from getting a slot to the first event.
  Duration wait{0};                   ///< Wait of a new request that arrives now.
  double slots_freed_per_second = 0;  ///< Slots freed per second in the zone; 0 if unknown.
  const ArrivalRateForecaster* forecaster = nullptr;  ///< Null if unknown.
};

/// When a rejected caller should retry.
struct RetryTime {
  Duration delay{0};
  /// A slot is expected for the retry, so it is served before new requests. Without a booking the
  /// time is only the one with the best chance: callers without a Retry-After retry at once, in the
  /// same peak.
  bool has_booking = true;
};

/// Chooses the first time at which slots are free for the caller after the expected arrivals and
/// the retries already booked. If there is none, chooses a late time at which the retry is served
/// before new requests without taking all slots from them; otherwise the latest time for which the
/// caller waits.
/// @return nothing if a retry cannot succeed within the caller's deadline.
std::optional<RetryTime> choose_retry_time(const RetryQuery& query,
                                           const RetryBookings& retry_bookings, Random& random);

}  // namespace stoathold
