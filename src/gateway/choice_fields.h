/// @file
/// What decided the choice of a runner, as fields of log events.
#pragma once

#include <string>

#include "routing/runner_selector.h"

namespace stoathold {

/// Returns `candidates=4,load=0.42,load_age_ms=123,unread=456,rule=warm`: how many runners there
/// were, the chosen one's load and that value's age, the prompt tokens unread there, and why.
std::string choice_text(const Selection& choice, TimePoint now);

}  // namespace stoathold
