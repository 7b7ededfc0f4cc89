#include "admission/return_times.h"

#include <algorithm>
#include <vector>

namespace stoathold {
namespace {

/// Callers wait as told up to this part of the time that they have left, and come then.
constexpr double kHonouredPart = 1.0 / 3;
/// A caller that is back sooner meets the same queue, and costs a connection.
constexpr Duration kShortestReturn = std::chrono::milliseconds(100);
/// Time for the way to the caller and back, with a new connection.
constexpr Duration kTravel = std::chrono::milliseconds(50);
/// Part of the slots that come free which returns may be promised while arrivals want all of them.
constexpr double kPromisedPart = 0.3;
/// Such a return comes no sooner: the second after a rejection is not to be fuller by it.
constexpr Duration kSoonestPromise = std::chrono::seconds(1);
/// Returns that come with a swing at its low fill it to this part: its rate is a guess.
constexpr double kCalmPart = 0.9;
/// Bins with room among which the return is drawn: nodes that reject at once, and hear of each
/// other some 50 ms later, would all fill the first one.
constexpr std::size_t kCalmChoices = 5;
/// Bins around a moment over which bookings are counted where a single one has room for none: at a
/// service of some slots a second. Odd.
constexpr int kWideBins = 5;
/// Until a booking of another node is known here: its digest waits, holds some of them, and
/// travels.
constexpr Duration kBookingsUnknown = std::chrono::milliseconds(200);
/// Callers without a promise are spread over so long before the last moment that they wait for.
constexpr Duration kUnpromisedSpread = std::chrono::milliseconds(300);
/// Where nothing is known: as long as a caller takes to try again by itself.
constexpr Duration kUnknownReturn = std::chrono::milliseconds(200);

/// A moment inside the bin, so that callers told at once do not come at once.
Duration spread(Duration bin_start, Duration latest, Random& random) {
  const Duration moment = bin_start + scale(ReturningCallers::kBookingBin, random.unit());
  return std::min(moment, latest);
}

/// Returns how many more may be told to come at a moment that has room for so many a second.
double places_at(const ReturnQuery& query, const ReturningCallers& callers, TimePoint at,
                 double per_second) {
  const double in_bin = per_second * to_seconds(ReturningCallers::kBookingBin);
  if (in_bin >= 1) return in_bin - callers.expected_at(query.service, at);
  std::uint32_t booked = 0;
  for (int bin = -kWideBins / 2; bin <= kWideBins / 2; ++bin) {
    booked += callers.expected_at(query.service, at + bin * ReturningCallers::kBookingBin);
  }
  return in_bin * kWideBins - booked;
}

/// Moments with places for returns.
struct Openings {
  std::vector<Duration> starts;
  double places = 0;

  void add(Duration start, double free) {
    if (free < 1) return;
    starts.push_back(start);
    places += free;
  }
};

/// Whether one of the places is taken. All nodes reject in the same peak and hear of each other's
/// bookings late: what is rejected meanwhile, anywhere, shares the places.
bool draws_place(const ReturnQuery& query, const Openings& openings, Random& random) {
  const double arrivals = query.swing == nullptr ? 0 : query.swing->rate();
  const double rivals = (arrivals - query.freed_per_second) * to_seconds(kBookingsUnknown);
  return !openings.starts.empty() && random.unit() * rivals < openings.places;
}

/// Returns a second for which a moment has room beside what arrives.
double calm_room(const ReturnQuery& query, TimePoint at) {
  const double arrivals = query.swing == nullptr ? 0 : query.swing->expected_rate(at, query.now);
  return kCalmPart * query.freed_per_second - arrivals;
}

}  // namespace

std::optional<ReturnTime> choose_return(const ReturnQuery& query, const ReturningCallers& callers,
                                        Random& random) {
  const Duration left = query.deadline - query.now;
  const Duration latest = scale(left, kHonouredPart) - kTravel;
  if (latest < kShortestReturn || left - latest < query.first_event + kTravel) return std::nullopt;
  if (query.freed_per_second <= 0) {
    return ReturnTime{std::min(latest, scale(kUnknownReturn, 0.5 + random.unit()))};
  }
  const Duration earliest = std::clamp(query.wait, kShortestReturn, kSoonestPromise);
  Openings calm;
  Openings promised;
  for (Duration start = earliest; start < latest; start += ReturningCallers::kBookingBin) {
    const TimePoint at = query.now + start;
    calm.add(start, places_at(query, callers, at, calm_room(query, at)));
    if (calm.starts.size() == kCalmChoices) break;
    if (start < kSoonestPromise) continue;
    promised.add(start, places_at(query, callers, at, kPromisedPart * query.freed_per_second));
  }
  if (draws_place(query, calm, random)) {
    return ReturnTime{spread(calm.starts[random.below(calm.starts.size())], latest, random)};
  }
  if (draws_place(query, promised, random)) {
    return ReturnTime{spread(promised.starts.back(), latest, random)};
  }
  const Duration before_latest = scale(kUnpromisedSpread, random.unit());
  return ReturnTime{std::max(kShortestReturn, latest - before_latest), false};
}

}  // namespace stoathold
