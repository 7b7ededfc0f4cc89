#include "routing/placement_queue.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/saturating_cast.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Interval at which placement is retried while requests wait. Reported loads age out and ejections
/// end without an event at this node.
constexpr Duration kPollInterval = std::chrono::milliseconds(20);

/// Online work waits this long for a slot to come free by itself before batch work is asked to
/// yield one, and then `kRepeatedYieldDelay` before it is asked again.
constexpr Duration kFirstYieldDelay = std::chrono::milliseconds(20);
constexpr Duration kRepeatedYieldDelay = std::chrono::milliseconds(100);
/// Upper bound on the time until an asked batch item has ended: the request to yield is repeated
/// once, after `kRepeatedYieldDelay`.
constexpr Duration kMaxYieldTime = 2 * kRepeatedYieldDelay;
/// Fraction of a runner's slots that batch keeps free right after online work had to wait, and the
/// time over which this reserve decays linearly to zero.
constexpr double kBurstReserve = 0.4;
constexpr Duration kBurstReserveDecay = std::chrono::milliseconds(400);

/// Requests that can no longer be served are also looked for at each change of capacity, at most
/// once in this interval.
constexpr Duration kMinReviewInterval = std::chrono::milliseconds(2);

/// Returns whether any runner of the service may be selected.
bool is_unrestricted(const SelectionRequest& request) {
  return request.excluded.empty() && !request.software_version;
}

}  // namespace

bool PlacementQueue::precedes(const PlacementTicket& left, const PlacementTicket& right) {
  const auto rank = [](const PlacementTicket& ticket) {
    const PlacementRequest& request = ticket.request_;
    const bool new_request = request.admission_class == AdmissionClass::kNewRequest;
    return std::tuple(request.work, request.priority, request.fair_share_rank, new_request,
                      request.due, ticket.number_);
  };
  return rank(left) < rank(right);
}

bool PlacementQueue::ByUrgency::operator()(const std::shared_ptr<PlacementTicket>& left,
                                           const std::shared_ptr<PlacementTicket>& right) const {
  return precedes(*left, *right);
}

PlacementQueue::PlacementQueue(asio::any_io_executor executor, const RunnerRegistry& registry)
    : executor_(std::move(executor)),
      registry_(registry),
      poll_timer_(executor_),
      review_timer_(executor_) {}

std::shared_ptr<PlacementTicket> PlacementQueue::make_ticket(PlacementRequest request) {
  if (policy_.fair_share_rank)
    request.fair_share_rank = policy_.fair_share_rank(request, monotonic_now());
  auto ticket = std::make_shared<PlacementTicket>(executor_, std::move(request));
  ticket->number_ = next_number_++;
  return ticket;
}

/// The first free slots do not mean that a burst of online work has ended: batch items that took
/// them would be preempted again after their prompts had been processed.
double PlacementQueue::batch_reserve(const std::string& service, TimePoint now) {
  const double expected =
      policy_.batch_reserve_fraction ? policy_.batch_reserve_fraction(service, now) : 0;
  const auto found = last_demand_.find(service);
  if (found == last_demand_.end()) return expected;
  const double part = to_seconds(now - found->second) / to_seconds(kBurstReserveDecay);
  return std::max(expected, kBurstReserve * std::clamp(1.0 - part, 0.0, 1.0));
}

bool PlacementQueue::try_place(PlacementTicket& ticket, TimePoint now) {
  const PlacementRequest& request = ticket.request_;
  if (request.latest_start != TimePoint{} && now > request.latest_start) return false;
  SelectionRequest wanted = request.selection;
  wanted.borrowed_only = request.work == WorkClass::kOnline && registry_.lending();
  if (request.work == WorkClass::kBatch) {
    if (registry_.peers_wait_for(wanted.service)) {
      last_demand_[wanted.service] = now;
      return false;
    }
    const double margin = batch_reserve(wanted.service, now);
    // A `load_limit` of zero means "no limit", so an exhausted limit must return here.
    if (wanted.load_limit > 0 && margin >= wanted.load_limit) return false;
    wanted.load_limit -= margin;
  }
  Selection& selection = ticket.selection_;
  selection = select_runner(registry_, wanted, now);
  if (!selection.runner) return preempt(ticket, wanted, now);
  begin(ticket, now);
  return true;
}

/// Starts the attempt at the selected runner.
void PlacementQueue::begin(const PlacementTicket& ticket, TimePoint now) {
  const Selection& selection = ticket.selection_;
  selection.runner->begin_attempt(selection.uncached_prompt_tokens, ticket.request_.work);
  if (policy_.on_placed) policy_.on_placed(ticket.request_, now);
  if (use_listener_) use_listener_();
}

/// A request that may run only once cannot be withdrawn from a runner's queue and sent elsewhere.
/// It goes to a full runner only if its first event is on time even after the longest wait for a
/// batch item to end.
bool PlacementQueue::may_queue_at_runner(const PlacementRequest& request, TimePoint now) const {
  if (!request.runs_once || request.first_event_deadline == TimePoint{}) return true;
  return now + kMaxYieldTime + request.first_event < request.first_event_deadline;
}

/// Online work preempts a batch item without waiting for its slot: the request waits in the
/// runner's own queue for the short time that the item takes to end.
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
      yields_slots(request) && registry_.peers_wait_urgently_for(request.selection.service);
  const bool may_overtake =
      !leaves_slot && (waiting_.empty() || request.work == WorkClass::kOnline);
  if (may_overtake && try_place(*ticket, now)) co_return ticket->selection_.runner;
  if (is_online(request) && reviews()) {
    const QueuePosition position = queue_position(*ticket, now);
    if (reject(*ticket, position, now)) {
      notify_unplaced(*ticket);
      co_return nullptr;
    }
    if (policy_.on_queued) policy_.on_queued(request, position, now);
    schedule_review();
  }
  waiting_.insert(ticket);
  ticket->next_yield_request_ = now + kFirstYieldDelay;
  schedule_poll();
  // Slots of other zones are requested at once instead of with the next periodic report.
  if (use_listener_ && registry_.lending()) use_listener_();
  ticket->timer_.expires_after(std::max(Duration{0}, ticket->request_.queue_deadline - now));
  auto& runner = ticket->selection_.runner;
  if (!ticket->cancelled_ && !runner) {
    co_await ticket->timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  waiting_.erase(ticket);
  // The wait has timed out: the rejection carries the reason and the time to retry.
  if (!runner && !ticket->cancelled_ && is_online(ticket->request_) && reviews()) {
    const TimePoint end = monotonic_now();
    reject(*ticket, queue_position(*ticket, end), end);
  }
  if (runner && ticket->cancelled_) {
    runner->end_attempt(AttemptOutcome::kAbandoned, monotonic_now(),
                        ticket->selection_.uncached_prompt_tokens, ticket->request_.work);
    runner.reset();
    capacity_changed();
  } else if (!runner) {
    notify_unplaced(*ticket);
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
  if (monotonic_now() - last_review_ >= kMinReviewInterval) reject_unservable();
}

void PlacementQueue::drop_obsolete() {
  // Cancelled tickets leave the queue when their waits return, not in this loop.
  for (const auto& ticket : waiting_) {
    if (ticket->request_.is_obsolete && ticket->request_.is_obsolete()) ticket->cancel();
  }
}

void PlacementQueue::notify_unplaced(const PlacementTicket& ticket) const {
  if (policy_.on_unplaced) policy_.on_unplaced(ticket.request_, monotonic_now());
}

bool PlacementQueue::yields_slots(const PlacementRequest& request) const {
  if (policy_.yields_to_peers && policy_.yields_to_peers(request)) return true;
  const bool new_request = request.admission_class == AdmissionClass::kNewRequest;
  return new_request && is_online(request) && policy_.expects_booked_retries &&
         policy_.may_yield_to_booked_retries && policy_.may_yield_to_booked_retries(request) &&
         policy_.expects_booked_retries(request.selection.service);
}

/// Rejects a request that is certain to miss its deadline.
bool PlacementQueue::reject(PlacementTicket& ticket, const QueuePosition& position, TimePoint now) {
  if (!policy_.review) return false;
  ticket.rejection_ = policy_.review(ticket.request_, position, now);
  if (!ticket.rejection_) return false;
  // It no longer waits, but its demand was not met: batch takes no slot of the zone for a moment.
  last_demand_[ticket.request_.selection.service] = now;
  preempted_at_[ticket.request_.selection.service] = now;
  return true;
}

void PlacementQueue::reject_unservable() {
  if (!reviews()) return;
  const TimePoint now = monotonic_now();
  last_review_ = now;
  // Cancelled tickets leave the queue when their waits return, not in this loop.
  for (const auto& [ticket, position] : online_positions(now)) {
    if (!ticket->cancelled_ && reject(*ticket, position, now)) ticket->cancel();
  }
}

void PlacementQueue::schedule_review() {
  if (review_scheduled_) return;
  review_scheduled_ = true;
  review_timer_.expires_after(kReviewInterval);
  review_timer_.async_wait([this](boost::system::error_code error) {
    review_scheduled_ = false;
    if (error || !reviews() || waiting(WorkClass::kOnline) == 0) return;
    reject_unservable();
    schedule_review();
  });
}

void PlacementQueue::dispatch() {
  if (dispatching_) return;
  dispatching_ = true;
  // Requests that can still be on time go first, however long the others have waited: a late
  // response is worth less.
  const auto in_time = can_be_in_time;
  const auto online = is_online;
  dispatch_matching([&](const PlacementRequest& request, TimePoint now) {
    return online(request) && in_time(request, now) && !yields_slots(request);
  });
  // Slots of the zone go to non-yielding requests of any node before other requests of this node.
  dispatch_matching([&](const PlacementRequest& request, TimePoint now) {
    return online(request) && in_time(request, now) && yields_slots(request) &&
           !registry_.peers_wait_urgently_for(request.selection.service);
  });
  dispatch_matching([&](const PlacementRequest& request, TimePoint) {
    return online(request) && !registry_.peers_wait_in_time_for(request.selection.service);
  });
  dispatch_matching([&](const PlacementRequest& request, TimePoint now) {
    return !online(request) && in_time(request, now);
  });
  dispatch_matching([&](const PlacementRequest& request, TimePoint) { return !online(request); });
  dispatching_ = false;
}

void PlacementQueue::dispatch_matching(const Filter& filter) {
  const TimePoint now = monotonic_now();
  // Once a service has no slot for a request, it has none for later requests of the same class.
  std::set<std::pair<std::string, WorkClass>> full;
  std::vector<std::shared_ptr<PlacementTicket>> placed;
  for (const auto& ticket : waiting_) {
    const auto group = std::pair(ticket->request_.selection.service, ticket->request_.work);
    if (full.contains(group) || !filter(ticket->request_, now)) continue;
    if (try_place(*ticket, now)) {
      placed.push_back(ticket);
    } else if (is_unrestricted(ticket->request_.selection)) {
      full.insert(group);
    }
  }
  for (const auto& ticket : placed) {
    waiting_.erase(ticket);
    ticket->timer_.cancel();
  }
}

void PlacementQueue::request_batch_yields() {
  if (!yield_handler_) return;
  const TimePoint now = monotonic_now();
  for (const auto& ticket : waiting_) {
    if (ticket->request_.work != WorkClass::kOnline || now < ticket->next_yield_request_) continue;
    ticket->next_yield_request_ = now + kRepeatedYieldDelay;
    last_demand_[ticket->request_.selection.service] = now;
    yield_handler_(ticket->request_.selection.service, nullptr);
  }
}

/// Nodes select runners from digests that are some 10 ms old, so occasionally more of them select a
/// runner than it has slots. The runner's own queue has no priorities.
bool PlacementQueue::preempt_if_overcommitted(const Runner& runner) {
  if (!yield_handler_ || !runner.overcommitted()) return false;
  last_demand_[runner.record().service] = monotonic_now();
  yield_handler_(runner.record().service, &runner);
  return true;
}

Duration PlacementQueue::yield_delay(bool again) {
  return again ? kRepeatedYieldDelay : kFirstYieldDelay;
}

void PlacementQueue::schedule_poll() {
  if (poll_scheduled_) return;
  poll_scheduled_ = true;
  poll_timer_.expires_after(kPollInterval);
  poll_timer_.async_wait([this](boost::system::error_code error) {
    poll_scheduled_ = false;
    if (error || waiting_.empty()) return;
    dispatch();
    request_batch_yields();
    // Other nodes leave slots to online work only while reports say that some is waiting.
    if (use_listener_ && waiting(WorkClass::kOnline) > 0) use_listener_();
    if (!waiting_.empty()) schedule_poll();
  });
}

}  // namespace stoathold
