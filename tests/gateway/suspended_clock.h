/// @file
/// Lets the machine of a test be suspended: the time since boot jumps, the steady clock doesn't.
///
/// The program that links `suspended_clock.cc` gets its clocks from there.
#pragma once

#include "base/time.h"

namespace stoathold {

/// From now on the time since boot and the time of day are later by this, the steady clock is not.
void suspend_machine(Duration length);

}  // namespace stoathold
