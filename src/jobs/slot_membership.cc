#include "jobs/slot_membership.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/timer.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

constexpr const char* kGroup = "job-workers";
/// Time without a heartbeat after which a member's slots are assigned to others.
constexpr Duration kTimeToLive = std::chrono::milliseconds(2500);
/// Interval between heartbeats; three fit into `kTimeToLive`.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(800);
/// Number of heartbeats with which the list of members is read after a change of the group. The
/// list contains only members that hold a slot, and a slot reaches its new member within two
/// heartbeats: its old member releases it with one, and the new one takes it with the next.
constexpr int kMemberReads = 4;

std::set<std::uint32_t> difference(const std::set<std::uint32_t>& left,
                                   const std::set<std::uint32_t>& right) {
  std::set<std::uint32_t> result;
  std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                      std::inserter(result, result.end()));
  return result;
}

}  // namespace

SlotMembership::SlotMembership(asio::any_io_executor executor, RecordLog& log,
                               std::string member_name, SlotHandlers handlers)
    : executor_(std::move(executor)), log_(log), handlers_(std::move(handlers)) {
  member_.group = kGroup;
  member_.name = std::move(member_name);
  member_.time_to_live = std::max(kTimeToLive, log.limits().minimum_time_to_live);
}

asio::awaitable<void> SlotMembership::apply_assignment(GroupAssignment assignment) {
  const std::set<std::uint32_t> held(assignment.slots.begin(), assignment.slots.end());
  const std::set<std::uint32_t> lost = difference(slots_, held);
  const std::set<std::uint32_t> gained = difference(held, slots_);
  if (lost.empty() && gained.empty()) co_return;
  log_event(Event::kSlotsChanged, {{"generation", std::to_string(assignment.generation)},
                                   {"held", std::to_string(held.size())},
                                   {"gained", std::to_string(gained.size())},
                                   {"lost", std::to_string(lost.size())}});
  slots_ = held;
  if (!lost.empty()) co_await handlers_.lost(lost);
  if (!gained.empty() && !leaving_) handlers_.gained(gained);
}

asio::awaitable<void> SlotMembership::refresh_members() {
  const MemberList list = co_await log_.members(kGroup);
  if (list.status != LogStatus::kOk) co_return;
  --member_reads_left_;
  if (std::exchange(member_names_, list.names) == list.names) co_return;
  if (handlers_.members_changed) handlers_.members_changed(list.names);
}

asio::awaitable<void> SlotMembership::run() {
  Timer timer(executor_);
  Backoff backoff;
  bool reachable = true;
  while (!leaving_) {
    const GroupAssignment assignment = co_await log_.join(member_);
    if (leaving_) co_return;
    Duration wait = kHeartbeatInterval;
    if (assignment.status == LogStatus::kOk) {
      backoff.reset();
      if (!reachable) log_event(Event::kStoreRegained, {{"member", member_.name}});
      reachable = true;
      const bool changed = assignment.generation != member_.generation;
      member_.generation = assignment.generation;
      co_await apply_assignment(assignment);
      // The other members wait until this one acknowledges the new generation.
      if (changed) wait = Duration{0};
      if (changed) member_reads_left_ = kMemberReads;
      if (!changed && member_reads_left_ > 0) co_await refresh_members();
    } else {
      if (reachable) {
        log_event(Event::kStoreLost, {{"member", member_.name},
                                      {"status", std::string(to_string(assignment.status))}});
      }
      reachable = false;
      wait = backoff.next();
    }
    timer.expires_after(wait);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> SlotMembership::leave() {
  leaving_ = true;
  const std::set<std::uint32_t> held = std::exchange(slots_, {});
  if (!held.empty()) co_await handlers_.lost(held);
  co_await log_.leave(member_);
}

}  // namespace stoathold
