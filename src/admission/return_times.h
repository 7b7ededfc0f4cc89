/// @file
/// When a rejected caller is told to come back.
#pragma once

#include <optional>

#include "admission/arrival_swing.h"
#include "admission/returning_callers.h"
#include "base/random.h"
#include "base/time.h"

namespace stoathold {

/// What a time to come back depends on.
struct ReturnQuery {
  std::uint64_t service = 0;
  TimePoint now{};
  TimePoint deadline{};                 ///< The caller's.
  Duration first_event{0};              ///< Usual time to it, with a slot.
  Duration wait{0};                     ///< That a newcomer would wait now.
  double freed_per_second = 0;          ///< Slots of the zone; 0: unknown.
  const ArrivalSwing* swing = nullptr;  ///< Null: unknown.
};

/// When a caller is told to come back.
struct ReturnTime {
  Duration after{0};
  /// A slot is expected for it then, so that it goes before newcomers; else it is only the moment
  /// with the best chance: callers that are told nothing are back at once, in the same peak.
  bool promised = true;
};

/// Chooses the first moment at which slots come free for the caller, after what is expected to
/// arrive and after the callers that were told to come then; else a late one at which it goes
/// before newcomers without taking all slots from them; else the last one that it waits for.
/// @return nothing if coming back cannot help the caller within its deadline.
std::optional<ReturnTime> choose_return(const ReturnQuery& query, const ReturningCallers& callers,
                                        Random& random);

}  // namespace stoathold
