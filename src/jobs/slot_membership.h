/// @file
/// This node's membership in the group of workers, and the slots of jobs that it holds by it.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <set>
#include <string>

#include "store/record_log.h"

namespace stoathold {

/// What to do when slots come and go.
struct SlotHandlers {
  /// Slots were gained; work on them may begin.
  std::function<void(const std::set<std::uint32_t>&)> gained;
  /// Slots are to be given up: returns once progress is written. Only then do they pass to another.
  std::function<boost::asio::awaitable<void>(std::set<std::uint32_t>)> lost;
  /// The members of the group, this one among them, after each change.
  std::function<void(const std::vector<std::string>&)> members_changed;
};

/// Stays in the group for as long as the process runs. A slot that is held is a hint, not a right:
/// the order of the log decides whose results count, so two holders cost work but harm nothing.
/// Used on one thread.
class SlotMembership {
 public:
  SlotMembership(boost::asio::any_io_executor executor, RecordLog& log, std::string member_name,
                 SlotHandlers handlers);

  /// Joins and stays in the group until `leave`.
  boost::asio::awaitable<void> run();
  /// Gives all slots up and leaves the group.
  boost::asio::awaitable<void> leave();

  [[nodiscard]] bool holds(std::uint32_t slot) const { return slots_.contains(slot); }
  [[nodiscard]] const std::set<std::uint32_t>& slots() const { return slots_; }

 private:
  boost::asio::awaitable<void> refresh_members();
  boost::asio::awaitable<void> apply_assignment(GroupAssignment assignment);

  boost::asio::any_io_executor executor_;
  RecordLog& log_;
  GroupMember member_;
  SlotHandlers handlers_;
  std::set<std::uint32_t> slots_;
  std::uint64_t members_generation_ = 0;
  bool leaving_ = false;
};

}  // namespace stoathold
