#include "base/startup_progress.h"

#include <string>

#include "base/event_log.h"

namespace stoathold {

std::string_view to_string(StartStep step) {
  switch (step) {
    case StartStep::kConfigurationKnown:
      return "configuration_known";
    case StartStep::kRunnerListKnown:
      return "runner_list_known";
    case StartStep::kFirstSlotsHeld:
      return "first_slots_held";
    case StartStep::kJobsRead:
      return "jobs_read";
    case StartStep::kFirstItemPlaced:
      return "first_item_placed";
    case StartStep::kFirstRequestServed:
      break;
  }
  return "first_request_served";
}

bool StartProgress::reached(StartStep step, TimePoint now) {
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
