#include "admission/slot_time_estimator.h"

namespace stoathold {
namespace {

/// Smoothing factor of the mean: averages about the last 20 samples, which cover some seconds of a
/// node's requests.
constexpr double kSmoothing = 0.05;
/// Maximum number of tracked routes; a configuration has some dozens.
constexpr std::size_t kMaxRoutes = 256;

}  // namespace

void SlotTimeEstimator::observe(const std::string& route, Duration held) {
  if (means_.size() >= kMaxRoutes && !means_.contains(route)) means_.clear();
  const auto [entry, added] = means_.try_emplace(route, held);
  if (!added) entry->second += scale(held - entry->second, kSmoothing);
}

Duration SlotTimeEstimator::expected(const std::string& route) const {
  const auto found = means_.find(route);
  return found == means_.end() ? Duration{0} : found->second;
}

}  // namespace stoathold
