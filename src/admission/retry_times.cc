#include "admission/retry_times.h"

#include <algorithm>
#include <vector>

namespace stoathold {
namespace {

/// Callers respect a Retry-After up to this fraction of the time that they have left, and retry at
/// that point at the latest.
constexpr double kMaxRetryFraction = 1.0 / 3;
/// An earlier retry meets the same queue and costs another connection.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
/// Round trip to the caller and back, including a new connection.
constexpr Duration kRoundTrip = std::chrono::milliseconds(50);
/// Fraction of the freed slots that may be booked for retries while new arrivals need all slots.
constexpr double kBookedSlotFraction = 0.3;
/// Minimum delay of such a retry, so that it does not add load to the second after the rejection.
constexpr Duration kMinBookedDelay = std::chrono::seconds(1);
/// Utilization up to which retries fill the low phase of an oscillation. It is below 1 because the
/// expected rate is uncertain.
constexpr double kTargetUtilization = 0.9;
/// Number of bins with spare slots among which the retry is drawn at random. Nodes that reject at
/// the same time learn of each other's bookings some 50 ms later and would all fill the first bin.
constexpr std::size_t kMaxCandidateBins = 5;
/// Odd number of bins over which bookings are added up if a single bin has less than one slot, as
/// at a service with a few slots per second.
constexpr int kWindowBins = 5;
/// Delay until a booking of another node is known here: its digest is sent at intervals, carries
/// only some bookings at a time, and has to be delivered.
constexpr Duration kBookingPropagationDelay = std::chrono::milliseconds(200);
/// Retries without a booking are spread over this time before the latest moment for which callers
/// wait.
constexpr Duration kUnbookedJitter = std::chrono::milliseconds(300);
/// Delay if nothing is known: as long as a caller takes to retry on its own.
constexpr Duration kDefaultRetryDelay = std::chrono::milliseconds(200);

/// Returns a random moment within the bin, so that callers rejected together do not retry together.
Duration jitter_within_bin(Duration bin_start, Duration latest, Random& random) {
  const Duration moment = bin_start + scale(RetryBookings::kBookingBin, random.unit());
  return std::min(moment, latest);
}

/// Returns how many more retries can be booked at a time with this rate of available slots.
double available_bookings(const RetryQuery& query, const RetryBookings& retry_bookings,
                          TimePoint at, double per_second) {
  const double in_bin = per_second * to_seconds(RetryBookings::kBookingBin);
  if (in_bin >= 1) return in_bin - retry_bookings.booked_at(query.service, at);
  std::uint32_t booked = 0;
  for (int bin = -kWindowBins / 2; bin <= kWindowBins / 2; ++bin) {
    booked += retry_bookings.booked_at(query.service, at + bin * RetryBookings::kBookingBin);
  }
  return in_bin * kWindowBins - booked;
}

/// Bins in which retries can be booked.
class CandidateBins {
 public:
  void add(Duration start, double free) {
    if (free < 1) return;
    bins_.push_back({start, free});
    free_ += free;
  }
  [[nodiscard]] std::size_t size() const { return bins_.size(); }
  [[nodiscard]] bool empty() const { return bins_.empty(); }
  /// Returns how many retries can be booked in all bins.
  [[nodiscard]] double free() const { return free_; }
  /// Returns the start of a random bin, drawn in proportion to the retries that can be booked.
  [[nodiscard]] Duration draw(Random& random) const {
    double left = random.unit() * free_;
    for (const Bin& bin : bins_) {
      left -= bin.free;
      if (left < 0) return bin.start;
    }
    return bins_.back().start;
  }

 private:
  struct Bin {
    Duration start{0};
    double free = 0;
  };
  std::vector<Bin> bins_;
  double free_ = 0;
};

/// Returns whether this request wins one of the bookings. All nodes reject in the same peak and
/// learn of each other's bookings late, so the requests rejected meanwhile anywhere in the zone
/// share the available bookings.
bool draws_booking(const RetryQuery& query, const CandidateBins& bins, Random& random) {
  const double arrivals = query.forecaster == nullptr ? 0 : query.forecaster->recent_rate();
  const double competitors =
      (arrivals - query.slots_freed_per_second) * to_seconds(kBookingPropagationDelay);
  return !bins.empty() && random.unit() * competitors < bins.free();
}

/// Returns the slots per second left at a time after the expected arrivals.
double spare_slot_rate(const RetryQuery& query, TimePoint at) {
  const double arrivals =
      query.forecaster == nullptr ? 0 : query.forecaster->expected_rate(at, query.now);
  return kTargetUtilization * query.slots_freed_per_second - arrivals;
}

}  // namespace

std::optional<RetryTime> choose_retry_time(const RetryQuery& query,
                                           const RetryBookings& retry_bookings, Random& random) {
  const Duration remaining = query.deadline - query.now;
  const Duration latest = scale(remaining, kMaxRetryFraction) - kRoundTrip;
  if (latest < kMinRetryDelay || remaining - latest < query.first_event + kRoundTrip)
    return std::nullopt;
  if (query.slots_freed_per_second <= 0) {
    return RetryTime{std::min(latest, scale(kDefaultRetryDelay, 0.5 + random.unit()))};
  }
  const Duration earliest = std::clamp(query.wait, kMinRetryDelay, kMinBookedDelay);
  CandidateBins low_load;
  CandidateBins reserved;
  for (Duration start = earliest; start < latest; start += RetryBookings::kBookingBin) {
    const TimePoint at = query.now + start;
    low_load.add(start, available_bookings(query, retry_bookings, at, spare_slot_rate(query, at)));
    if (low_load.size() == kMaxCandidateBins) break;
    if (start < kMinBookedDelay) continue;
    reserved.add(start, available_bookings(query, retry_bookings, at,
                                           kBookedSlotFraction * query.slots_freed_per_second));
  }
  for (const CandidateBins* bins : {&low_load, &reserved}) {
    if (!draws_booking(query, *bins, random)) continue;
    return RetryTime{jitter_within_bin(bins->draw(random), latest, random)};
  }
  const Duration before_latest = scale(kUnbookedJitter, random.unit());
  return RetryTime{std::max(kMinRetryDelay, latest - before_latest), false};
}

}  // namespace stoathold
