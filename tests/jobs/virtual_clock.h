/// @file
/// A clock that only moves when a test advances it, so that runs of an event loop are
/// deterministic.
///
/// A program that links `virtual_clock.cc` uses its `clock_gettime`: the time since boot and the
/// time of day are virtual, the steady clock is not.
#pragma once

#include "base/time.h"

namespace stoathold {

/// Advances the time since boot and the time of day.
void advance_clock(Duration length);

}  // namespace stoathold
