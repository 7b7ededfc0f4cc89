#include "net/caller_connections.h"

namespace stoathold {

void CallerConnections::closed(CallerAddress caller) {
  const auto found = callers_.find(caller);
  if (found != callers_.end() && --found->second.open == 0) callers_.erase(found);
}

std::uint64_t CallerConnections::enter_idle(CallerAddress caller, TimePoint now) {
  callers_[caller].idle.emplace(++last_turn_, now);
  return last_turn_;
}

void CallerConnections::leave_idle(CallerAddress caller, std::uint64_t turn) {
  const auto found = callers_.find(caller);
  if (found != callers_.end()) found->second.idle.erase(turn);
}

std::optional<CallerConnections::Choice> CallerConnections::choose_for(CallerAddress newcomer,
                                                                       TimePoint now) const {
  const auto own = callers_.find(newcomer);
  const std::size_t held_by_newcomer = own == callers_.end() ? 0 : own->second.open;
  std::optional<Choice> choice;
  std::size_t most = 0;
  for (const auto& [address, caller] : callers_) {
    const bool holds_more = caller.open > held_by_newcomer || address == newcomer;
    if (!holds_more || caller.idle.empty() || caller.open < most) continue;
    const auto& [turn, since] = *caller.idle.begin();
    if (now - since < kLeastIdleTime) continue;
    if (caller.open == most && choice && choice->turn < turn) continue;
    choice = Choice{address, turn, since};
    most = caller.open;
  }
  return choice;
}

}  // namespace stoathold
