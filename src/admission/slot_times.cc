#include "admission/slot_times.h"

namespace stoathold {
namespace {

/// Part of a new sample in the mean: the last 20 count, some seconds of a node's requests.
constexpr double kNewPart = 0.05;
/// Routes that are remembered; a configuration has some tens.
constexpr std::size_t kMostRoutes = 256;

}  // namespace

void SlotTimes::observe(const std::string& route, Duration held) {
  if (means_.size() >= kMostRoutes && !means_.contains(route)) means_.clear();
  const auto [entry, added] = means_.try_emplace(route, held);
  if (!added) entry->second += scale(held - entry->second, kNewPart);
}

Duration SlotTimes::expected(const std::string& route) const {
  const auto found = means_.find(route);
  return found == means_.end() ? Duration{0} : found->second;
}

}  // namespace stoathold
