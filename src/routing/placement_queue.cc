#include "routing/placement_queue.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/saturated.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// While something waits, places are looked for this often: loads that were reported grow old, and
/// ejections end, without anything happening here.
constexpr Duration kWatchInterval = std::chrono::milliseconds(20);

/// Online work waits so long for a place that comes free by itself before batch work gives one up,
/// and so long again before it is asked once more.
constexpr Duration kYieldAfter = std::chrono::milliseconds(20);
constexpr Duration kYieldAgain = std::chrono::milliseconds(100);
/// A batch item that was asked has ended by then: it is asked once more after `kYieldAgain`.
constexpr Duration kLongestYield = 2 * kYieldAgain;
/// Part of a runner's places that batch leaves free just after online work had to wait, and the
/// time in which that falls to nothing.
constexpr double kBurstMargin = 0.4;
constexpr Duration kBurstMemory = std::chrono::milliseconds(400);

/// What cannot be served is also looked for at each change, but not more often than this.
constexpr Duration kReviewPause = std::chrono::milliseconds(2);

}  // namespace

bool PlacementQueue::goes_before(const PlacementTicket& left, const PlacementTicket& right) {
  const auto rank = [](const PlacementTicket& ticket) {
    const PlacementRequest& request = ticket.request_;
    const bool newcomer = request.standing == AdmissionStanding::kNewcomer;
    return std::tuple(request.work, request.priority, request.turn, newcomer, request.due,
                      ticket.number_);
  };
  return rank(left) < rank(right);
}

bool PlacementQueue::MoreUrgent::operator()(const std::shared_ptr<PlacementTicket>& left,
                                            const std::shared_ptr<PlacementTicket>& right) const {
  return goes_before(*left, *right);
}

PlacementQueue::PlacementQueue(asio::any_io_executor executor, const RunnerRegistry& registry)
    : executor_(std::move(executor)),
      registry_(registry),
      watch_timer_(executor_),
      review_timer_(executor_) {}

std::shared_ptr<PlacementTicket> PlacementQueue::make_ticket(PlacementRequest request) {
  if (decisions_.turn) request.turn = decisions_.turn(request, monotonic_now());
  auto ticket = std::make_shared<PlacementTicket>(executor_, std::move(request));
  ticket->number_ = next_number_++;
  return ticket;
}

/// A burst of online work that has just found no place is not over when the first places are free:
/// batch items that took them would be ended again after their prompts were read.
double PlacementQueue::batch_margin(const std::string& service, TimePoint now) {
  const double expected = decisions_.batch_leaves ? decisions_.batch_leaves(service, now) : 0;
  const auto found = last_demand_.find(service);
  if (found == last_demand_.end()) return expected;
  const double part = to_seconds(now - found->second) / to_seconds(kBurstMemory);
  return std::max(expected, kBurstMargin * std::clamp(1.0 - part, 0.0, 1.0));
}

bool PlacementQueue::try_place(PlacementTicket& ticket, TimePoint now) {
  const PlacementRequest& request = ticket.request_;
  if (request.last_start != TimePoint{} && now > request.last_start) return false;
  SelectionRequest wanted = request.selection;
  wanted.borrowed_only = request.work == WorkClass::kOnline && registry_.lending();
  if (request.work == WorkClass::kBatch) {
    if (registry_.peers_wait_for(wanted.service)) {
      last_demand_[wanted.service] = now;
      return false;
    }
    const double margin = batch_margin(wanted.service, now);
    // No limit is another thing than a limit of which nothing is left.
    if (wanted.load_limit > 0 && margin >= wanted.load_limit) return false;
    wanted.load_limit -= margin;
  }
  Selection& selection = ticket.selection_;
  selection = select_runner(registry_, wanted, now);
  if (!selection.runner) return preempt(ticket, wanted, now);
  begin(ticket, now);
  return true;
}

/// The ticket's runner was chosen.
void PlacementQueue::begin(const PlacementTicket& ticket, TimePoint now) {
  const Selection& selection = ticket.selection_;
  selection.runner->begin_attempt(selection.tokens_to_read, ticket.request_.work);
  if (decisions_.placed) decisions_.placed(ticket.request_, now);
  if (use_listener_) use_listener_();
}

/// One that may run once only cannot be taken back from a runner's queue and sent elsewhere: it
/// goes there only if its first event is in time also after the longest wait for a batch item.
bool PlacementQueue::may_queue_at_runner(const PlacementRequest& request, TimePoint now) const {
  if (!request.runs_once || request.last_use == TimePoint{}) return true;
  return now + kLongestYield + request.first_event < request.last_use;
}

/// Online work takes the slot of a batch item without waiting for it to come free: the request
/// waits in the runner's own queue for the moment that the item takes to end.
bool PlacementQueue::preempt(PlacementTicket& ticket, SelectionRequest wanted, TimePoint now) {
  const bool allowed = ticket.request_.work == WorkClass::kOnline && yield_handler_;
  if (!allowed || ticket.selection_.failure != SelectionFailure::kAllBusy) return false;
  if (!may_queue_at_runner(ticket.request_, now)) return false;
  wanted.preempt_batch = true;
  Selection selection = select_runner(registry_, wanted, now);
  if (!selection.runner) return false;
  ticket.selection_ = selection;
  last_demand_[wanted.service] = now;
  preempted_at_[wanted.service] = now;
  yield_handler_(wanted.service, selection.runner.get());
  begin(ticket, now);
  return true;
}

asio::awaitable<std::shared_ptr<Runner>> PlacementQueue::acquire(
    std::shared_ptr<PlacementTicket> ticket) {
  const TimePoint now = monotonic_now();
  const PlacementRequest& request = ticket->request_;
  const bool leaves_slot =
      yields(request) && registry_.peers_wait_urgently_for(request.selection.service);
  const bool may_overtake =
      !leaves_slot && (waiting_.empty() || request.work == WorkClass::kOnline);
  if (may_overtake && try_place(*ticket, now)) co_return ticket->selection_.runner;
  if (is_online(request) && reviews()) {
    const QueuePosition position = position_of(*ticket, now);
    if (reject(*ticket, position, now)) {
      note_left(*ticket);
      co_return nullptr;
    }
    if (decisions_.waits) decisions_.waits(request, position, now);
    watch_reviews();
  }
  waiting_.insert(ticket);
  ticket->ask_yield_at_ = now + kYieldAfter;
  watch();
  // Slots of other zones are asked for at once, not when the others hear of it next.
  if (use_listener_ && registry_.lending()) use_listener_();
  ticket->timer_.expires_after(std::max(Duration{0}, ticket->request_.give_up - now));
  auto& runner = ticket->selection_.runner;
  if (!ticket->cancelled_ && !runner) {
    co_await ticket->timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  waiting_.erase(ticket);
  // Its time to wait is over: the rejection says why, and when to come back.
  if (!runner && !ticket->cancelled_ && is_online(ticket->request_) && reviews()) {
    const TimePoint end = monotonic_now();
    reject(*ticket, position_of(*ticket, end), end);
  }
  if (runner && ticket->cancelled_) {
    runner->end_attempt(AttemptOutcome::kAbandoned, monotonic_now(),
                        ticket->selection_.tokens_to_read, ticket->request_.work);
    runner.reset();
    capacity_changed();
  } else if (!runner) {
    note_left(*ticket);
  }
  co_return runner;
}

void PlacementQueue::capacity_changed() {
  if (use_listener_) use_listener_();
  loads_changed();
}

void PlacementQueue::loads_changed() {
  if (waiting_.empty()) return;
  dispatch();
  if (monotonic_now() - last_review_ >= kReviewPause) reject_hopeless();
}

void PlacementQueue::drop_hopeless() {
  // Cancelled tickets leave the queue when their waits return, not in this loop.
  for (const auto& ticket : waiting_) {
    if (ticket->request_.hopeless && ticket->request_.hopeless()) ticket->cancel();
  }
}

void PlacementQueue::note_left(const PlacementTicket& ticket) const {
  if (decisions_.left) decisions_.left(ticket.request_, monotonic_now());
}

bool PlacementQueue::yields(const PlacementRequest& request) const {
  if (decisions_.yields && decisions_.yields(request)) return true;
  const bool newcomer = request.standing == AdmissionStanding::kNewcomer;
  return newcomer && is_online(request) && decisions_.returns_due &&
         decisions_.may_leave_to_returned && decisions_.may_leave_to_returned(request) &&
         decisions_.returns_due(request.selection.service);
}

/// Rejects a request that is certain not to be served in its time.
bool PlacementQueue::reject(PlacementTicket& ticket, const QueuePosition& position, TimePoint now) {
  if (!decisions_.review) return false;
  ticket.rejection_ = decisions_.review(ticket.request_, position, now);
  if (!ticket.rejection_) return false;
  // It no longer waits, but wanted a slot: batch is to take none of the zone for a moment.
  last_demand_[ticket.request_.selection.service] = now;
  preempted_at_[ticket.request_.selection.service] = now;
  return true;
}

void PlacementQueue::reject_hopeless() {
  if (!reviews()) return;
  const TimePoint now = monotonic_now();
  last_review_ = now;
  // Cancelled tickets leave the queue when their waits return, not in this loop.
  for (const auto& [ticket, position] : online_positions(now)) {
    if (!ticket->cancelled_ && reject(*ticket, position, now)) ticket->cancel();
  }
}

void PlacementQueue::watch_reviews() {
  if (watching_reviews_) return;
  watching_reviews_ = true;
  review_timer_.expires_after(kReviewInterval);
  review_timer_.async_wait([this](boost::system::error_code error) {
    watching_reviews_ = false;
    if (error || !reviews() || waiting(WorkClass::kOnline) == 0) return;
    reject_hopeless();
    watch_reviews();
  });
}

void PlacementQueue::dispatch() {
  if (dispatching_) return;
  dispatching_ = true;
  // What can still be in time goes first: a late answer is worth less, however long it has waited.
  const auto in_time = can_be_in_time;
  const auto online = is_online;
  dispatch_some([&](const PlacementRequest& request, TimePoint now) {
    return online(request) && in_time(request, now) && !yields(request);
  });
  // Slots of the zone go to such work of any node before they go to other work of this one.
  dispatch_some([&](const PlacementRequest& request, TimePoint now) {
    return online(request) && in_time(request, now) && yields(request) &&
           !registry_.peers_wait_urgently_for(request.selection.service);
  });
  dispatch_some([&](const PlacementRequest& request, TimePoint) {
    return online(request) && !registry_.peers_wait_in_time_for(request.selection.service);
  });
  dispatch_some([&](const PlacementRequest& request, TimePoint now) {
    return !online(request) && in_time(request, now);
  });
  dispatch_some([&](const PlacementRequest& request, TimePoint) { return !online(request); });
  dispatching_ = false;
}

void PlacementQueue::dispatch_some(const Filter& filter) {
  const TimePoint now = monotonic_now();
  // Once a service has no place for one, it has none for those behind it of the same class.
  std::set<std::pair<std::string, WorkClass>> full;
  std::vector<std::shared_ptr<PlacementTicket>> placed;
  for (const auto& ticket : waiting_) {
    const auto group = std::pair(ticket->request_.selection.service, ticket->request_.work);
    if (full.contains(group) || !filter(ticket->request_, now)) continue;
    if (try_place(*ticket, now)) {
      placed.push_back(ticket);
    } else if (ticket->request_.selection.excluded.empty()) {
      full.insert(group);
    }
  }
  for (const auto& ticket : placed) {
    waiting_.erase(ticket);
    ticket->timer_.cancel();
  }
}

void PlacementQueue::ask_for_places() {
  if (!yield_handler_) return;
  const TimePoint now = monotonic_now();
  for (const auto& ticket : waiting_) {
    if (ticket->request_.work != WorkClass::kOnline || now < ticket->ask_yield_at_) continue;
    ticket->ask_yield_at_ = now + kYieldAgain;
    last_demand_[ticket->request_.selection.service] = now;
    yield_handler_(ticket->request_.selection.service, nullptr);
  }
}

/// Each node chooses from digests that are some 10 ms old, so that now and then more of them choose
/// a runner than it has places. The runner's own queue knows no priorities.
bool PlacementQueue::relieve(const Runner& runner) {
  if (!yield_handler_ || !runner.overcommitted()) return false;
  last_demand_[runner.record().service] = monotonic_now();
  yield_handler_(runner.record().service, &runner);
  return true;
}

Duration PlacementQueue::yield_delay(bool again) {
  return again ? kYieldAgain : kYieldAfter;
}

void PlacementQueue::watch() {
  if (watching_) return;
  watching_ = true;
  watch_timer_.expires_after(kWatchInterval);
  watch_timer_.async_wait([this](boost::system::error_code error) {
    watching_ = false;
    if (error || waiting_.empty()) return;
    dispatch();
    ask_for_places();
    // The other nodes leave the places to online work only while they hear that some waits.
    if (use_listener_ && waiting(WorkClass::kOnline) > 0) use_listener_();
    if (!waiting_.empty()) watch();
  });
}

}  // namespace stoathold
