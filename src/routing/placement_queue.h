/// @file
/// Priority queue for requests that need a runner slot.
///
/// Runners serve requests in order of arrival and have no notion of priority. A request that would
/// have to wait at a full runner is therefore held in the gateway, where more urgent requests can
/// overtake it.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/admission_control.h"
#include "admission/placement_rejection.h"
#include "admission/zone_backlog.h"
#include "base/timer.h"
#include "routing/load_messages.h"
#include "routing/runner_registry.h"
#include "routing/runner_selector.h"
#include "routing/slot_loans.h"

namespace stoathold {

/// A request for a runner slot and the constraints on its placement.
struct PlacementRequest {
  SelectionRequest selection;
  WorkClass work = WorkClass::kOnline;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  TimePoint due{};             ///< Placed before this time, the request is on time.
  TimePoint queue_deadline{};  ///< The queue drops the request after this time.
  std::string tenant;          ///< Empty: anonymous.
  std::string route;
  TimePoint first_event_deadline{};  ///< Latest useful first event; the caller is gone after it;
                                     ///< zero: unknown.
  Duration slot_time{0};             ///< Predicted time for which it holds a slot; 0: unknown.
  bool runs_once = false;  ///< It may not be sent to another runner once one may have run it.
  double fair_share_rank =
      0;  ///< Fair-share rank within a priority, lower first; set by `PlacementPolicy`.
  TimePoint arrival{};       ///< Arrival at this node.
  TimePoint deadline{};      ///< The caller waits or retries until then; zero: unknown.
  Duration first_event{0};   ///< Typical time from slot to first event; 0: unknown.
  TimePoint latest_start{};  ///< Latest start at which the caller is still there; zero: unbounded.
  /// Among requests of equal rank, callers that return after a rejection precede newcomers.
  AdmissionClass admission_class = AdmissionClass::kNewRequest;
  /// Returns whether a change of circumstances has made the placement pointless; null: never.
  std::function<bool()> is_obsolete;
};

inline bool is_online(const PlacementRequest& request) {
  return request.work == WorkClass::kOnline;
}
/// Returns whether a request is on time if it is placed now.
inline bool can_be_in_time(const PlacementRequest& request, TimePoint now) {
  return now < request.due;
}

/// Callbacks through which other modules decide about queued requests and observe them. Each may be
/// null. Whatever a callback refers to must outlive the queue.
struct PlacementPolicy {
  /// Returns the fair-share rank of an arriving request within its priority.
  std::function<double(const PlacementRequest& request, TimePoint now)> fair_share_rank;
  /// Called when a request has been assigned a slot.
  std::function<void(const PlacementRequest& request, TimePoint now)> on_placed;
  /// Called when a request leaves the queue without a slot.
  std::function<void(const PlacementRequest& request, TimePoint now)> on_unplaced;
  /// Returns whether an on-time online request leaves slots to those on-time requests of other
  /// nodes that do not yield.
  std::function<bool(const PlacementRequest& request)> yields_to_peers;
  /// Returns whether callers that were promised a slot are expected to return about now. Newcomers
  /// of the lowest online priority then leave slots to them, at whichever node they return.
  std::function<bool(const std::string& service)> expects_booked_retries;
  /// Returns whether such a newcomer may yield: its service has no online requests of lower
  /// priority, and no tenant's share depends on who yields to whom.
  std::function<bool(const PlacementRequest& request)> may_yield_to_booked_retries;
  /// Returns the fraction of a runner's slots that batch keeps free for returning callers.
  std::function<double(const std::string& service, TimePoint now)> batch_reserve_fraction;
  /// Returns whether waiting requests are currently checked for rejection.
  std::function<bool()> reviews_enabled;
  /// Returns the rejection of an online request that found no slot, or nothing if it may keep
  /// waiting.
  std::function<std::optional<PlacementRejection>(const PlacementRequest& request,
                                                  const QueuePosition& position, TimePoint now)>
      review;
  /// Called when an arriving online request found no slot and starts to wait.
  std::function<void(const PlacementRequest& request, const QueuePosition& position, TimePoint now)>
      on_queued;
};

/// Handle of one request in the queue, owned by the waiting caller. `cancel` ends the wait.
class PlacementTicket {
 public:
  PlacementTicket(const boost::asio::any_io_executor& executor, PlacementRequest request)
      : request_(std::move(request)), timer_(executor) {}

  /// Ends the wait without a slot. Does nothing if the wait is over.
  void cancel() {
    cancelled_ = true;
    timer_.cancel();
  }
  /// The assigned runner and the inputs of the decision; no runner if none was found.
  [[nodiscard]] const Selection& selection() const { return selection_; }
  /// Why the request was rejected while it waited; empty if it was not.
  [[nodiscard]] const std::optional<PlacementRejection>& rejection() const { return rejection_; }

 private:
  friend class PlacementQueue;
  PlacementRequest request_;
  Timer timer_;
  Selection selection_;
  std::optional<PlacementRejection> rejection_;
  TimePoint next_yield_request_{};
  std::uint64_t number_ = 0;
  bool cancelled_ = false;
};

/// Period of the check for queued online requests that can no longer be served. Callers are to be
/// rejected within 10 ms of the moment when that becomes certain.
inline constexpr Duration kReviewInterval = std::chrono::milliseconds(5);

/// The requests that wait for a slot on this node. Used on one thread.
class PlacementQueue {
 public:
  /// Asks batch work to give up one slot, at this node or another. Called once for each slot needed
  /// when online requests wait for a service whose runners are full.
  /// @param runner where the slot is needed; null: any runner of the service in this zone.
  using YieldHandler = std::function<void(const std::string& service, const Runner* runner)>;

  PlacementQueue(boost::asio::any_io_executor executor, const RunnerRegistry& registry);

  void set_yield_handler(YieldHandler handler) { yield_handler_ = std::move(handler); }
  /// Returns the callbacks; each module sets its own.
  [[nodiscard]] PlacementPolicy& placement_policy() { return policy_; }

  std::shared_ptr<PlacementTicket> make_ticket(PlacementRequest request);
  /// Waits for a slot.
  /// @return the runner, with an attempt begun; null if the wait timed out or was rejected or
  ///         cancelled.
  boost::asio::awaitable<std::shared_ptr<Runner>> acquire(std::shared_ptr<PlacementTicket> ticket);
  /// Must be called when a slot was taken or may have become free.
  void capacity_changed();
  /// Ends the wait of all requests whose `is_obsolete` returns true.
  void drop_obsolete();
  /// Must be called when other nodes have reported their use of runners: a slot may have become
  /// free.
  void loads_changed();
  /// Asks batch work at a runner to give up a slot if the runner has more requests than slots.
  /// Called when an online request sent there has had no response for `yield_delay`.
  /// @return whether batch work was asked.
  bool preempt_if_overcommitted(const Runner& runner);
  /// Returns how long online work waits before batch work is asked for a slot, or for a further
  /// one.
  static Duration yield_delay(bool again);
  /// Sets a listener that is called whenever this node's use of a runner changes.
  void set_use_listener(std::function<void()> listener) { use_listener_ = std::move(listener); }
  /// Returns the number of waiting requests of a class.
  [[nodiscard]] std::size_t waiting(WorkClass work) const;
  /// Returns the waiting online requests in the order of their placement.
  [[nodiscard]] std::vector<WaitingRequest> online_work(TimePoint now) const;
  /// Returns the amount of waiting online work that can still be on time.
  [[nodiscard]] std::map<ZoneBacklog::Group, QueuedWork> waiting_in_time(TimePoint now) const;
  /// Statistics of the online requests that wait for a service, for operators.
  struct ServiceWait {
    std::uint32_t waiting = 0;
    std::uint32_t in_time = 0;   ///< Those that can still be on time.
    std::uint32_t returned = 0;  ///< Those that return after a rejection.
    Duration oldest{0};          ///< Longest wait.
  };
  [[nodiscard]] std::map<std::string, ServiceWait> online_waits(TimePoint now) const;
  /// Called for each online request that waits for the service, in queue order.
  using Visitor = std::function<void(const PlacementRequest&, const QueuePosition&)>;
  void visit_online(const std::string& service, const Visitor& visitor, TimePoint now) const;
  /// Returns the demand by service: waiting online work, and services where online work recently
  /// had to preempt batch work or was rejected.
  [[nodiscard]] std::vector<ServiceDemand> online_demand() const;

 private:
  struct ByUrgency {
    bool operator()(const std::shared_ptr<PlacementTicket>& left,
                    const std::shared_ptr<PlacementTicket>& right) const;
  };

  static bool precedes(const PlacementTicket& left, const PlacementTicket& right);
  bool try_place(PlacementTicket& ticket, TimePoint now);
  bool preempt(PlacementTicket& ticket, SelectionRequest wanted, TimePoint now);
  void begin(const PlacementTicket& ticket, TimePoint now);
  [[nodiscard]] bool may_queue_at_runner(const PlacementRequest& request, TimePoint now) const;
  bool reject(PlacementTicket& ticket, const QueuePosition& position, TimePoint now);
  [[nodiscard]] bool reviews() const {
    return policy_.reviews_enabled && policy_.reviews_enabled();
  }
  struct WaitingTicket {
    std::shared_ptr<PlacementTicket> ticket;
    QueuePosition position;
  };
  [[nodiscard]] std::vector<WaitingTicket> online_positions(TimePoint now) const;
  [[nodiscard]] QueuePosition queue_position(const PlacementTicket& ticket, TimePoint now) const;
  void schedule_review();
  void notify_unplaced(const PlacementTicket& ticket) const;
  [[nodiscard]] bool yields_slots(const PlacementRequest& request) const;
  [[nodiscard]] double batch_reserve(const std::string& service, TimePoint now);
  using Filter = std::function<bool(const PlacementRequest&, TimePoint now)>;

  void dispatch();
  void dispatch_matching(const Filter& filter);
  void request_batch_yields();
  void reject_unservable();
  void schedule_poll();

  boost::asio::any_io_executor executor_;
  const RunnerRegistry& registry_;
  YieldHandler yield_handler_;
  PlacementPolicy policy_;
  std::function<void()> use_listener_;
  std::set<std::shared_ptr<PlacementTicket>, ByUrgency> waiting_;
  /// Time of the last unmet online demand for a service, at this node or another of the zone.
  std::map<std::string, TimePoint> last_demand_;
  /// Time at which online work of this node last preempted batch work or was rejected.
  std::map<std::string, TimePoint> preempted_at_;
  std::uint64_t next_number_ = 0;
  Timer poll_timer_;
  Timer review_timer_;
  bool poll_scheduled_ = false;
  bool review_scheduled_ = false;
  TimePoint last_review_{};
  bool dispatching_ = false;
};

}  // namespace stoathold
