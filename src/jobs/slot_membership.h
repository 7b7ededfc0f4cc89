/// @file
/// Membership of this node in the worker group, and the job slots assigned to it.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "store/record_log.h"

namespace stoathold {

/// Callbacks for changes of the slot assignment and of the group.
struct SlotHandlers {
  /// Called after slots were assigned to this node; their jobs may be started.
  std::function<void(const std::set<std::uint32_t>&)> gained;
  /// Called when slots are revoked; completes once the progress of their jobs is written. The slots
  /// are assigned to another member only after that.
  std::function<boost::asio::awaitable<void>(std::set<std::uint32_t>)> lost;
  /// Called with the names of all group members that hold a slot, including this one, after each
  /// change.
  std::function<void(const std::vector<std::string>&)> members_changed;
};

/// Keeps this node in the worker group and tracks its slots. Slot ownership is advisory: the log
/// order decides which results count, so two owners of a slot duplicate work but cause no wrong
/// results. Not thread-safe.
class SlotMembership {
 public:
  SlotMembership(boost::asio::any_io_executor executor, RecordLog& log, std::string member_name,
                 SlotHandlers handlers);

  /// Joins the group and sends heartbeats until `leave` is called.
  boost::asio::awaitable<void> run();
  /// Releases all slots and leaves the group.
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
  std::vector<std::string> member_names_;  ///< Of the last read.
  int member_reads_left_ = 0;
  bool leaving_ = false;
};

}  // namespace stoathold
