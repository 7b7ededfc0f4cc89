/// @file
/// Formats the selection of a runner as a field of log events.
#pragma once

#include <string>

#include "routing/runner_selector.h"

namespace stoathold {

/// Returns for instance `candidates=4,load=0.42,load_age_ms=123,unread=456,rule=warm`: the number
/// of candidates, the load of the selected runner and the age of that value, the prompt tokens that
/// it has not yet processed, and the rule that selected it.
std::string choice_text(const Selection& choice, TimePoint now);

}  // namespace stoathold
