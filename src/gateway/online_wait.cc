// Waiting for a slot: the longest wait of a request, and what is recorded when the wait ends.
#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"
#include "gateway/choice_fields.h"
#include "gateway/online_request.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Load at which a runner has no free slot.
constexpr double kFullLoad = 1.0;
/// Longest wait for a slot. Callers abandon a stream soon after (after 2 s or a multiple of their
/// objectives, in all deployments).
constexpr Duration kMaxSlotWait = std::chrono::milliseconds(2000);
/// By contract, callers abandon a stream after a gap of this length, of this many latency
/// objectives or of this many event gap objectives, whichever is longest.
constexpr Duration kCallerStreamTimeout = std::chrono::milliseconds(2000);
constexpr int kCallerTimeoutLatencyObjectives = 4;
constexpr int kCallerTimeoutEventGaps = 8;
/// Largest fraction of the caller's timeout that is reserved for the usual time to the first event
/// and therefore cannot be spent waiting.
constexpr double kMaxFirstEventFraction = 0.25;

}  // namespace

/// Returns which runners may serve the next attempt, and what the choice depends on.
SelectionRequest OnlineRequest::make_selection() const {
  SelectionRequest selection{.service = service_,
                             .zone = context_.zone,
                             .affinity_key = prompt_.shared_key,
                             .prompt_tokens = prompt_.tokens,
                             .shared_prefix_tokens = prompt_.shared_prefix_tokens,
                             .load_limit = kFullLoad,
                             .excluded = tried_runners_};
  if (origin_) selection.software_version = origin_->version;
  const Duration idle_limit = max_idle_time();
  if (idle_limit.count() > 0)
    selection.has_reusable_connection = context_.idle_connection_predicate(idle_limit);
  selection.prefer_reusable_connections = context_.load_policy.reuses_connections;
  selection.node = context_.node;
  return selection;
}

asio::awaitable<std::shared_ptr<Runner>> OnlineRequest::acquire_slot() {
  rejection_.reset();
  // Nothing is gained by a wait for runners that will not come back.
  if (origin_ && !has_runner_of_origin()) co_return nullptr;
  PlacementRequest request;
  request.selection = make_selection();
  request.priority = priority();
  // Placed after `due`, the request would miss its latency objective and only delay others.
  const Duration first_event = context_.first_event_times.expected(route_.name);
  request.due = arrival_ + route_.latency_objective - first_event;
  request.queue_deadline = std::min(arrival_ + kMaxSlotWait, deadline_);
  request.is_obsolete = [this] {
    const bool is_held_back = !is_on_trial_ && quarantine_check_.is_held_back();
    return is_held_back || (origin_ && !has_runner_of_origin());
  };
  if (head_sent_) {
    // The caller is already reading the stream, so the next event is due regardless of when the
    // request arrived.
    const TimePoint now = monotonic_now();
    request.due = now + route_.event_gap_objective - first_event;
    request.queue_deadline = std::min(now + kMaxSlotWait, deadline_);
  }
  request.selection.speeds = context_.enabled_speed_model();
  request.selection.latency_objectives = {.route = stable_hash(route_.name),
                                          .first_event_due = request.due + first_event,
                                          .event_gap_objective = route_.event_gap_objective};
  request.tenant = caller_.tenant;
  request.route = route_.name;
  request.first_event_deadline = deadline_;
  request.runs_once = !route_.repeatable();
  request.arrival = arrival_;
  request.deadline = deadline_;
  request.first_event = first_event;
  if (context_.admission.active()) limit_wait(request);
  ticket_ = context_.placement.make_ticket(std::move(request));
  const TimePoint wait_start = monotonic_now();
  const auto runner = co_await context_.placement.acquire(ticket_);
  if (runner) context_.admission.record_wait(monotonic_now() - wait_start);
  uncached_tokens_ = ticket_->selection().uncached_prompt_tokens;
  runner_work_ = ticket_->selection().runner_work();
  expected_times_ = ticket_->selection().expected;
  if (runner) log_choice(ticket_->selection());
  rejection_ = ticket_->rejection();
  ticket_.reset();
  co_return runner;
}

/// Returns the time until which a caller waits for the next event of a stream, including the first.
TimePoint OnlineRequest::caller_timeout_at(TimePoint since) const {
  if (route_.kind != RouteKind::kStreaming) return deadline_;
  const Duration patience =
      std::max({kCallerStreamTimeout, kCallerTimeoutLatencyObjectives * route_.latency_objective,
                kCallerTimeoutEventGaps * route_.event_gap_objective});
  return std::min(deadline_, since + patience);
}

AdmissionClass OnlineRequest::admission_class() {
  if (!admission_class_) {
    std::optional<ContentHash> content;
    if (context_.admission.expects_retries()) content = quarantine_check_.content();
    admission_class_ =
        context_.admission.classify_arrival(service_, caller_.tenant, priority(), content);
  }
  const bool has_started = head_sent_ || runs_ > 0 || is_resumption_;
  return has_started ? AdmissionClass::kStarted : *admission_class_;
}

/// A slot is wasted on a request whose caller has left before the first event. The latest start
/// therefore leaves the usual time to the first event before the caller's timeout.
void OnlineRequest::limit_wait(PlacementRequest& request) {
  request.admission_class = admission_class();
  request.slot_time = context_.admission.slot_time(route_.name);
  const TimePoint since = head_sent_ ? monotonic_now() : arrival_;
  request.first_event_deadline = caller_timeout_at(since);
  // The usual time may have been learned while runners were full. The bound keeps it from rejecting
  // requests after runners are free again.
  const Duration longest = scale(request.first_event_deadline - since, kMaxFirstEventFraction);
  request.latest_start = request.first_event_deadline - std::min(request.first_event, longest);
  const bool streams = route_.kind == RouteKind::kStreaming;
  request.queue_deadline =
      streams ? request.latest_start : std::min(request.queue_deadline, request.latest_start);
}

void OnlineRequest::log_choice(const Selection& choice) {
  const TimePoint now = monotonic_now();
  choice_text_ = choice_text(choice, now);
  log_event(sends_ == 0 ? Event::kRequestSent : Event::kRequestSentAgain,
            {{"request", id_},
             {"runner", choice.runner->record().id},
             {"version", choice.runner->record().software_version},
             {"resumes", resumed_attempt_.substr(0, kMaxLoggedIdBytes)},
             {"last_event", last_event_ ? std::to_string(*last_event_) : "none"},
             {"choice", choice_text_},
             {"configuration", std::to_string(configuration_->version)},
             {"age_ms", milliseconds_text(now - arrival_)}});
}

/// Attempts that a runner rejected or that did not reach it held no slot.
void OnlineRequest::record_slot_release(AttemptResult result) {
  const bool held_slot = result != AttemptResult::kNotRun &&
                         result != AttemptResult::kUnreachable &&
                         result != AttemptResult::kImpossible;
  if (!held_slot) return;
  context_.admission.record_slot_release({.service = service_,
                                          .route = route_.name,
                                          .priority = priority(),
                                          .hold_time = monotonic_now() - attempt_start_,
                                          .completed = result == AttemptResult::kCompleted});
}

}  // namespace stoathold
