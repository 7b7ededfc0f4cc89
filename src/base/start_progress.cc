#include "base/start_progress.h"

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
      break;
  }
  return "first_item_placed";
}

bool StartProgress::reached(StartStep step, TimePoint now) {
  bool& reached = reached_[static_cast<std::size_t>(step)];
  if (reached) return false;
  reached = true;
  log_event(Event::kStartProgress, {{"step", std::string(to_string(step))},
                                    {"seconds", std::to_string(to_seconds(now - start_))}});
  return true;
}

}  // namespace stoathold
