#include "base/startup_progress.h"

#include <string>

#include "base/event_log.h"

namespace stoathold {

std::string_view to_string(StartupStep step) {
  switch (step) {
    case StartupStep::kConfigurationKnown:
      return "configuration_known";
    case StartupStep::kRunnerListKnown:
      return "runner_list_known";
    case StartupStep::kFirstSlotsHeld:
      return "first_slots_held";
    case StartupStep::kJobsRead:
      return "jobs_read";
    case StartupStep::kFirstItemPlaced:
      return "first_item_placed";
    case StartupStep::kFirstRequestServed:
      break;
  }
  return "first_request_served";
}

bool StartupProgress::mark_reached(StartupStep step, TimePoint now) {
  bool& reached = reached_[static_cast<std::size_t>(step)];
  if (reached) return false;
  reached = true;
  const std::string name(to_string(step));
  const double seconds = to_seconds(now - start_);
  seconds_.emplace(name, seconds);
  log_event(Event::kStartProgress, {{"step", name}, {"seconds", std::to_string(seconds)}});
  return true;
}

}  // namespace stoathold
