/// @file
/// Admission: gives each attempt a place at a runner, or lets it wait here, ordered by urgency.
///
/// Runners serve in the order of arrival and know no priorities, so work that would wait at a full
/// runner waits at the gateway instead, where what is urgent can overtake.
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

/// What waits for a place.
struct PlacementRequest {
  SelectionRequest selection;
  WorkClass work = WorkClass::kOnline;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  TimePoint due{};             ///< In time if placed by then.
  TimePoint give_up{};         ///< No longer worth placing.
  std::string tenant;          ///< Empty: anonymous.
  std::string route;
  TimePoint last_use{};     ///< A first event after this finds its caller gone; 0: not known.
  Duration slot_time{0};    ///< For which it is predicted to hold a slot; 0: not known.
  bool runs_once = false;   ///< It may not be sent to another runner once it may have run.
  double turn = 0;          ///< Lower goes first inside a priority; set by the turns' source.
  TimePoint arrival{};      ///< When it came to this node.
  TimePoint deadline{};     ///< Until which its caller waits or tries again; 0: not known.
  Duration first_event{0};  ///< Usual time from its slot to its first event; 0: not known.
  TimePoint last_start{};   ///< It is not placed later: its caller would be gone; 0: no bound.
  /// Inside a turn, those that were told to come back go before newcomers.
  AdmissionStanding standing = AdmissionStanding::kNewcomer;
  /// Whether it must not be placed any more, as its circumstances have changed; null: never.
  std::function<bool()> hopeless;
};

/// Whether a request is online work.
inline bool is_online(const PlacementRequest& request) {
  return request.work == WorkClass::kOnline;
}
/// Whether a request is in time if it is placed now.
inline bool can_be_in_time(const PlacementRequest& request, TimePoint now) {
  return now < request.due;
}

/// Decisions of other modules that the queue asks for; each may be null. They outlive the queue.
struct PlacementDecisions {
  /// Returns the request's turn inside its priority, when it comes.
  std::function<double(const PlacementRequest& request, TimePoint now)> turn;
  /// A request was given a slot.
  std::function<void(const PlacementRequest& request, TimePoint now)> placed;
  /// A request left without a slot.
  std::function<void(const PlacementRequest& request, TimePoint now)> left;
  /// Returns whether an online request that can be in time leaves slots to such requests of other
  /// nodes that don't.
  std::function<bool(const PlacementRequest& request)> yields;
  /// Returns whether callers that were promised a slot are expected now: newcomers of the least
  /// urgent online work leave slots to them, at whatever node they come.
  std::function<bool(const std::string& service)> returns_due;
  /// Returns whether such a newcomer may: no online work of its service is less urgent, and no
  /// tenant's share hangs on who leaves slots to whom.
  std::function<bool(const PlacementRequest& request)> may_leave_to_returned;
  /// Returns the part of a runner's places that batch leaves free for callers that come back.
  std::function<double(const std::string& service, TimePoint now)> batch_leaves;
  /// Whether requests that wait are reviewed now.
  std::function<bool()> reviews;
  /// Returns the rejection of an online request that found no slot, or nothing if it may wait on.
  std::function<std::optional<PlacementRejection>(const PlacementRequest& request,
                                                  const QueuePosition& position, TimePoint now)>
      review;
  /// An online request that came found no slot and begins to wait.
  std::function<void(const PlacementRequest& request, const QueuePosition& position, TimePoint now)>
      waits;
};

/// A request for a place. Held by who waits; `cancel` ends the wait.
class PlacementTicket {
 public:
  PlacementTicket(const boost::asio::any_io_executor& executor, PlacementRequest request)
      : request_(std::move(request)), timer_(executor) {}

  /// Ends the wait without a place; harmless if it is over.
  void cancel() {
    cancelled_ = true;
    timer_.cancel();
  }
  /// The place that was found, and what decided it; no runner if there is none.
  [[nodiscard]] const Selection& selection() const { return selection_; }
  /// Why it was rejected while it waited; nothing if it was not.
  [[nodiscard]] const std::optional<PlacementRejection>& rejection() const { return rejection_; }

 private:
  friend class PlacementQueue;
  PlacementRequest request_;
  Timer timer_;
  Selection selection_;
  std::optional<PlacementRejection> rejection_;
  TimePoint ask_yield_at_{};
  std::uint64_t number_ = 0;
  bool cancelled_ = false;
};

/// While online work waits, what cannot be served is looked for this often: callers are to know
/// 10 ms after it has become certain.
inline constexpr Duration kReviewInterval = std::chrono::milliseconds(5);

/// All that wait on this node. Used on one thread.
class PlacementQueue {
 public:
  /// Called when online work waits for a service whose runners are full: batch work there may give
  /// a place back, at this node or at another. Called once for each place that is needed.
  /// @param runner where; null: at any runner of the service in this zone.
  using YieldHandler = std::function<void(const std::string& service, const Runner* runner)>;

  PlacementQueue(boost::asio::any_io_executor executor, const RunnerRegistry& registry);

  void set_yield_handler(YieldHandler handler) { yield_handler_ = std::move(handler); }
  /// Each part sets its own of the decisions.
  [[nodiscard]] PlacementDecisions& decisions() { return decisions_; }

  std::shared_ptr<PlacementTicket> make_ticket(PlacementRequest request);
  /// Waits for a place.
  /// @return the runner, with an attempt begun; null if the wait was given up or cancelled.
  boost::asio::awaitable<std::shared_ptr<Runner>> acquire(std::shared_ptr<PlacementTicket> ticket);
  /// A place may have become free, or was taken.
  void capacity_changed();
  /// Ends the wait of all that must not be placed any more.
  void drop_hopeless();
  /// Other nodes reported their use of runners: a place may have become free.
  void loads_changed();
  /// Online work that was sent to the runner has had no answer for `yield_delay`: batch work there
  /// gives a place back if the runner has more requests than places.
  /// @return whether it was asked to.
  bool relieve(const Runner& runner);
  /// How long online work waits before batch work gives a place back, and before another does.
  static Duration yield_delay(bool again);
  /// Called whenever this node's use of a runner changes.
  void set_use_listener(std::function<void()> listener) { use_listener_ = std::move(listener); }
  /// Returns how many wait.
  [[nodiscard]] std::size_t waiting(WorkClass work) const;
  /// Returns the online work that waits, in the order in which it is placed.
  [[nodiscard]] std::vector<WaitingWork> online_work(TimePoint now) const;
  /// Returns the online work that waits and can be in time.
  [[nodiscard]] std::map<ZoneBacklog::Group, QueuedWork> waiting_in_time(TimePoint now) const;
  /// Online requests that wait for a service, for operators.
  struct ServiceWait {
    std::uint32_t waiting = 0;
    std::uint32_t in_time = 0;   ///< Those that can still be in time.
    std::uint32_t returned = 0;  ///< Those that were told to come back.
    Duration oldest{0};          ///< The longest wait.
  };
  [[nodiscard]] std::map<std::string, ServiceWait> online_waits(TimePoint now) const;
  /// Calls back for each online request that waits for the service, in the queue's order.
  using Visitor = std::function<void(const PlacementRequest&, const QueuePosition&)>;
  void visit_online(const std::string& service, const Visitor& visitor, TimePoint now) const;
  /// Returns the online work that waits, and that which had to wait just now.
  [[nodiscard]] std::vector<ServiceDemand> online_demand() const;

 private:
  struct MoreUrgent {
    bool operator()(const std::shared_ptr<PlacementTicket>& left,
                    const std::shared_ptr<PlacementTicket>& right) const;
  };

  static bool goes_before(const PlacementTicket& left, const PlacementTicket& right);
  bool try_place(PlacementTicket& ticket, TimePoint now);
  bool preempt(PlacementTicket& ticket, SelectionRequest wanted, TimePoint now);
  void begin(const PlacementTicket& ticket, TimePoint now);
  [[nodiscard]] bool may_queue_at_runner(const PlacementRequest& request, TimePoint now) const;
  bool reject(PlacementTicket& ticket, const QueuePosition& position, TimePoint now);
  [[nodiscard]] bool reviews() const { return decisions_.reviews && decisions_.reviews(); }
  struct WaitingTicket {
    std::shared_ptr<PlacementTicket> ticket;
    QueuePosition position;
  };
  [[nodiscard]] std::vector<WaitingTicket> online_positions(TimePoint now) const;
  [[nodiscard]] QueuePosition position_of(const PlacementTicket& ticket, TimePoint now) const;
  void watch_reviews();
  void note_left(const PlacementTicket& ticket) const;
  [[nodiscard]] bool yields(const PlacementRequest& request) const;
  [[nodiscard]] double batch_margin(const std::string& service, TimePoint now);
  using Filter = std::function<bool(const PlacementRequest&, TimePoint now)>;

  void dispatch();
  void dispatch_some(const Filter& filter);
  void ask_for_places();
  void reject_hopeless();
  void watch();

  boost::asio::any_io_executor executor_;
  const RunnerRegistry& registry_;
  YieldHandler yield_handler_;
  PlacementDecisions decisions_;
  std::function<void()> use_listener_;
  std::set<std::shared_ptr<PlacementTicket>, MoreUrgent> waiting_;
  /// When online work last waited for a service, at this node or another of the zone.
  std::map<std::string, TimePoint> last_demand_;
  /// When online work of this node last made batch work yield, or was rejected.
  std::map<std::string, TimePoint> preempted_at_;
  std::uint64_t next_number_ = 0;
  Timer watch_timer_;
  Timer review_timer_;
  bool watching_ = false;
  bool watching_reviews_ = false;
  TimePoint last_review_{};
  bool dispatching_ = false;
};

}  // namespace stoathold
