#include "jobs/item_schedule.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Loads up to which runners are filled while an item has much time and when it has little. The
/// difference is what online bursts of the usual size take at once (measured on two deployments).
constexpr double kRelaxedLoad = 0.65;
constexpr double kUrgentLoad = 0.95;

}  // namespace

double ItemSchedule::load_limit() const {
  if (objective.count() == 0) return kRelaxedLoad;
  // 1 when no slack is left.
  const double used = to_seconds(age + rest) / to_seconds(objective);
  return kRelaxedLoad + (kUrgentLoad - kRelaxedLoad) * std::clamp(used, 0.0, 1.0);
}

}  // namespace stoathold
