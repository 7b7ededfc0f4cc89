/// @file
/// Who holds how many connections, and whose goes for a new one when no more are to be had. Pure:
/// no sockets, the clock is passed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"

namespace stoathold {

/// Stands for the address of a caller. Callers behind one address count as one: that decides whose
/// idle connection goes first, and bounds nobody who is alone.
using CallerAddress = std::uint64_t;

/// No connection is closed for another sooner: the first request of a new one may be under way.
inline constexpr Duration kLeastIdleTime = std::chrono::seconds(1);

/// Connections of a server by the addresses of their callers. Not thread safe.
class CallerConnections {
 public:
  void opened(CallerAddress caller) { ++callers_[caller].open; }
  /// Its connection must not be idle any more.
  void closed(CallerAddress caller);
  /// A connection waits for a request, or for the rest of its head. @return its turn, which rises.
  std::uint64_t enter_idle(CallerAddress caller, TimePoint now);
  void leave_idle(CallerAddress caller, std::uint64_t turn);

  /// A connection that goes for another.
  struct Choice {
    CallerAddress caller = 0;
    std::uint64_t turn = 0;
    TimePoint since{};
  };
  /// Chooses the oldest idle connection of the caller that holds most, of those that hold more than
  /// the newcomer, who may also replace its own. @return nothing if there is none.
  [[nodiscard]] std::optional<Choice> choose_for(CallerAddress newcomer, TimePoint now) const;

 private:
  struct Caller {
    std::size_t open = 0;
    std::map<std::uint64_t, TimePoint> idle;  ///< By turn: the oldest first.
  };
  std::map<CallerAddress, Caller> callers_;
  std::uint64_t last_turn_ = 0;
};

}  // namespace stoathold
