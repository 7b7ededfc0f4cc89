#include "admission/kind_watch.h"

namespace stoathold {
namespace {

/// Kinds that are distinguished at most; those of a configuration are some dozens.
constexpr std::size_t kMostKinds = 100;
/// Below so many requests lately a part means little.
constexpr double kFewestRequests = 20;
/// A difference in the parts served that callers notice: one in twenty.
constexpr double kLeastDifference = 0.05;

}  // namespace

void KindWatch::count(const KindOfRequest& kind, KindOutcome outcome, TimePoint now) {
  if (kinds_.size() >= kMostKinds && !kinds_.contains(kind)) return;
  Counts& counts = kinds_[kind];
  ++counts.total[static_cast<std::size_t>(outcome)];
  const bool placed = outcome != KindOutcome::kNotPlaced;
  (placed ? counts.placed : counts.not_placed).add(1, now);
}

std::vector<KindInversion> KindWatch::inversions(TimePoint now) const {
  std::vector<KindInversion> result;
  const auto requests = [now](const Counts& counts) {
    return counts.placed.value(now) + counts.not_placed.value(now);
  };
  for (const auto& [urgent, counts] : kinds_) {
    const double came = requests(counts);
    if (came < kFewestRequests) continue;
    const double served = counts.placed.value(now) / came;
    for (const auto& [other, other_counts] : kinds_) {
      const double others = requests(other_counts);
      const bool less_urgent = other.service == urgent.service && other.priority > urgent.priority;
      if (!less_urgent || others < kFewestRequests) continue;
      const double other_served = other_counts.placed.value(now) / others;
      if (other_served - served < kLeastDifference) continue;
      result.push_back({urgent, served, other, other_served});
    }
  }
  return result;
}

}  // namespace stoathold
