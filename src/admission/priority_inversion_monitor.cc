#include "admission/priority_inversion_monitor.h"

namespace stoathold {
namespace {

/// Maximum number of tracked classes; a configuration has some dozens.
constexpr std::size_t kMaxClasses = 100;
/// With fewer recent requests than this, a fraction is not meaningful.
constexpr double kMinRequests = 20;
/// Smallest difference between the placed fractions that callers notice: one request in twenty.
constexpr double kMinDifference = 0.05;

}  // namespace

void PriorityInversionMonitor::record(const RequestClass& request_class, WaitOutcome outcome,
                                      TimePoint now) {
  if (classes_.size() >= kMaxClasses && !classes_.contains(request_class)) return;
  Counts& counts = classes_[request_class];
  ++counts.total[static_cast<std::size_t>(outcome)];
  const bool placed = outcome != WaitOutcome::kNotPlaced;
  (placed ? counts.placed : counts.not_placed).add(1, now);
}

std::vector<PriorityInversion> PriorityInversionMonitor::inversions(TimePoint now) const {
  std::vector<PriorityInversion> result;
  const auto requests = [now](const Counts& counts) {
    return counts.placed.value(now) + counts.not_placed.value(now);
  };
  for (const auto& [urgent, counts] : classes_) {
    const double request_count = requests(counts);
    if (request_count < kMinRequests) continue;
    const double served = counts.placed.value(now) / request_count;
    for (const auto& [other, other_counts] : classes_) {
      const double other_request_count = requests(other_counts);
      const bool comparable = other.service == urgent.service && other.priority > urgent.priority;
      if (!comparable || other_request_count < kMinRequests) continue;
      const double less_urgent_placed_fraction =
          other_counts.placed.value(now) / other_request_count;
      if (less_urgent_placed_fraction - served < kMinDifference) continue;
      result.push_back({urgent, served, other, less_urgent_placed_fraction});
    }
  }
  return result;
}

}  // namespace stoathold
