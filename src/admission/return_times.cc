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
/// Part of the slots that come free which returns may be promised while arrivals want all of them:
/// a zone at four times its arrivals served 44 in 100 at their first attempt so, 34 with a quarter
/// and 31 with half (where 3 in 100 were back in vain and waited 1.8 s), in admission_replay.h.
constexpr double kPromisedPart = 0.1;
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
/// Where nothing is known: as long as a caller takes to try again by itself.
constexpr Duration kUnknownReturn = std::chrono::milliseconds(200);

/// A moment inside the bin, so that callers told at once do not come at once.
Duration spread(Duration bin_start, Duration latest, Random& random) {
  const Duration moment = bin_start + scale(ReturningCallers::kBookingBin, random.unit());
  return std::min(moment, latest);
}

/// Whether one more may be told to come at a moment that has room for so many a second.
bool has_room(const ReturnQuery& query, const ReturningCallers& callers, TimePoint at,
              double per_second) {
  const double in_bin = per_second * to_seconds(ReturningCallers::kBookingBin);
  if (in_bin >= 1) return callers.expected_at(query.service, at) + 1.0 <= in_bin;
  std::uint32_t booked = 0;
  for (int bin = -kWideBins / 2; bin <= kWideBins / 2; ++bin) {
    booked += callers.expected_at(query.service, at + bin * ReturningCallers::kBookingBin);
  }
  return booked + 1.0 <= in_bin * kWideBins;
}

/// Returns a second for which a moment has room beside what arrives.
double calm_room(const ReturnQuery& query, TimePoint at) {
  const double arrivals = query.swing == nullptr ? 0 : query.swing->expected_rate(at, query.now);
  return kCalmPart * query.freed_per_second - arrivals;
}

}  // namespace

std::optional<Duration> choose_return(const ReturnQuery& query, const ReturningCallers& callers,
                                      Random& random) {
  const Duration left = query.deadline - query.now;
  const Duration latest = scale(left, kHonouredPart) - kTravel;
  if (latest < kShortestReturn || left - latest < query.first_event + kTravel) return std::nullopt;
  if (query.freed_per_second <= 0) {
    return std::min(latest, scale(kUnknownReturn, 0.5 + random.unit()));
  }
  const Duration earliest = std::clamp(query.wait, kShortestReturn, kSoonestPromise);
  std::vector<Duration> calm;
  std::vector<Duration> promised;
  for (Duration start = earliest; start < latest; start += ReturningCallers::kBookingBin) {
    const TimePoint at = query.now + start;
    if (has_room(query, callers, at, calm_room(query, at))) calm.push_back(start);
    if (calm.size() == kCalmChoices) break;
    const double promised_rate = kPromisedPart * query.freed_per_second;
    if (start >= kSoonestPromise && has_room(query, callers, at, promised_rate)) {
      promised.push_back(start);
    }
  }
  if (!calm.empty()) return spread(calm[random.below(calm.size())], latest, random);
  if (promised.empty()) return std::nullopt;
  return spread(promised.back(), latest, random);
}

}  // namespace stoathold
