// A request's wait for a slot: how long it may wait, and what is learned from it.
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

/// Load at which a runner has no place left.
constexpr double kFullLoad = 1.0;
/// Longest wait for a slot: soon after, callers give a stream up (2 s, or a multiple of their
/// objectives, on all deployments).
constexpr Duration kLongestWait = std::chrono::milliseconds(2000);
/// Callers give a stream up after a gap of this length, or of so many latency objectives or allowed
/// gaps, whichever is longest (the contract with callers).
constexpr Duration kStreamPatience = std::chrono::milliseconds(2000);
constexpr int kPatientObjectives = 4;
constexpr int kPatientGaps = 8;
/// Part of the caller's patience that the usual time to a first event may take of the time to wait.
constexpr double kLongestFirstEventPart = 0.25;

}  // namespace

asio::awaitable<std::shared_ptr<Runner>> OnlineRequest::place() {
  PlacementRequest request;
  request.selection = {.service = service_,
                       .zone = context_.zone,
                       .affinity_key = prompt_.shared_key,
                       .prompt_tokens = prompt_.tokens,
                       .shared_tokens = prompt_.shared_tokens,
                       .load_limit = kFullLoad,
                       .excluded = tried_};
  const Duration rest = longest_rest();
  if (rest.count() > 0) request.selection.connected = context_.connected(rest);
  request.selection.keep_connections = context_.load_policy.keeps_connections;
  request.selection.node = context_.node;
  request.priority = priority();
  // In time is who gets the first event by then: placed later, it would only keep others late.
  const Duration first_event = context_.first_event_times.expected(route_.name);
  request.due = arrival_ + route_.latency_objective - first_event;
  request.give_up = std::min(arrival_ + kLongestWait, deadline_);
  request.hopeless = [this] { return quarantine_check_.is_quarantined(); };
  if (head_sent_) {
    // The caller is reading: the next event is due however long ago the request came.
    const TimePoint now = monotonic_now();
    request.due = now + route_.event_gap_objective - first_event;
    request.give_up = std::min(now + kLongestWait, deadline_);
  }
  request.selection.speeds = context_.known_speeds();
  request.selection.needs = {.route = stable_hash(route_.name),
                             .first_event_due = request.due + first_event,
                             .event_gap_objective = route_.event_gap_objective};
  request.tenant = caller_.tenant;
  request.route = route_.name;
  request.last_use = deadline_;
  request.runs_once = !route_.repeatable();
  request.arrival = arrival_;
  request.deadline = deadline_;
  request.first_event = first_event;
  if (context_.admission.active()) bound_wait(request);
  ticket_ = context_.placement.make_ticket(std::move(request));
  const TimePoint asked = monotonic_now();
  const auto runner = co_await context_.placement.acquire(ticket_);
  if (runner) context_.admission.waited(monotonic_now() - asked);
  tokens_to_read_ = ticket_->selection().tokens_to_read;
  runner_work_ = ticket_->selection().runner_work();
  expected_ = ticket_->selection().expected;
  if (runner) log_choice(ticket_->selection());
  rejection_ = ticket_->rejection();
  ticket_.reset();
  co_return runner;
}

/// Until when a caller waits for the next event of a stream, the first one too.
TimePoint OnlineRequest::caller_patience_end(TimePoint since) const {
  if (route_.kind != RouteKind::kStreaming) return deadline_;
  const Duration patience =
      std::max({kStreamPatience, kPatientObjectives * route_.latency_objective,
                kPatientGaps * route_.event_gap_objective});
  return std::min(deadline_, since + patience);
}

AdmissionStanding OnlineRequest::standing() {
  if (!standing_) {
    std::optional<ContentHash> content;
    if (context_.admission.expects_returns()) content = quarantine_check_.content();
    standing_ = context_.admission.arrived(service_, caller_.tenant, priority(), content);
  }
  return head_sent_ || runs_ > 0 ? AdmissionStanding::kBegun : *standing_;
}

/// The request is worth a slot only while its first event finds its caller there, and a runner that
/// is given less than the usual time for it works in vain.
void OnlineRequest::bound_wait(PlacementRequest& request) {
  request.standing = standing();
  request.slot_time = context_.admission.slot_time(route_.name);
  const TimePoint since = head_sent_ ? monotonic_now() : arrival_;
  request.last_use = caller_patience_end(since);
  // What was learned behind full runners must not keep requests from runners that are free again.
  const Duration longest = scale(request.last_use - since, kLongestFirstEventPart);
  request.last_start = request.last_use - std::min(request.first_event, longest);
  const bool streams = route_.kind == RouteKind::kStreaming;
  request.give_up = streams ? request.last_start : std::min(request.give_up, request.last_start);
}

void OnlineRequest::log_choice(const Selection& choice) {
  const TimePoint now = monotonic_now();
  choice_ = choice_text(choice, now);
  log_event(sends_ == 0 ? Event::kRequestSent : Event::kRequestSentAgain,
            {{"request", id_},
             {"runner", choice.runner->record().id},
             {"choice", choice_},
             {"configuration", std::to_string(configuration_->version)},
             {"age_ms", milliseconds_text(now - arrival_)}});
}

/// Attempts that a runner turned away held no slot.
void OnlineRequest::note_slot_freed(AttemptResult result) {
  if (result == AttemptResult::kNotRun || result == AttemptResult::kUnreachable) return;
  context_.admission.freed({.service = service_,
                            .route = route_.name,
                            .priority = priority(),
                            .held = monotonic_now() - attempt_start_,
                            .whole = result == AttemptResult::kCompleted});
}

}  // namespace stoathold
