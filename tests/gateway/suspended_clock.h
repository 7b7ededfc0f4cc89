/// @file
/// Simulates a suspension of the machine: the time since boot jumps, the steady clock does not.
///
/// A program that links `suspended_clock.cc` uses its `clock_gettime`.
#pragma once

#include "base/time.h"

namespace stoathold {

/// Advances the time since boot and the time of day by `length`, but not the steady clock.
void suspend_machine(Duration length);

}  // namespace stoathold
