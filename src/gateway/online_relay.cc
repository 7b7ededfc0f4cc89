// Relays the response from the runner to the caller: checks of the head, event framing, resumption.
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/ids.h"
#include "gateway/headers.h"
#include "gateway/online_request.h"
#include "gateway/runner_response.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Factor of the event gap objective for which a resumable stream waits for its next event.
constexpr double kEventGapTimeoutFactor = 1.6;

/// Returns how the end of a response is marked to the caller. An end that the connection marks
/// looks regular when the process of this node exits, so chunks replace it wherever they are
/// allowed.
BodyFraming caller_framing(BodyFraming framing, const HttpExchange& exchange) {
  if (framing == BodyFraming::kLength) return framing;
  return exchange.accepts_chunks() ? BodyFraming::kChunked : BodyFraming::kUntilClose;
}

}  // namespace

asio::awaitable<AttemptResult> OnlineRequest::relay_response(Runner& runner) {
  const UpstreamHead& head = upstream_->head();
  constexpr int kServerError = 500;
  constexpr int kGatewayTimeout = 504;  // At the deadline; says nothing about the runner.
  if (was_not_run(runner, head, context_.dialect)) co_return AttemptResult::kNotRun;
  const bool success = head.status >= 200 && head.status < 300;
  if (success && is_unverified(head, context_.dialect)) co_return AttemptResult::kBroken;
  const bool claims_not_run = head.status == 429 || head.status == 503 || head.status == 408;
  // Relayed, these statuses would tell the caller that the request was not run.
  if (claims_not_run && !route_.repeatable()) co_return AttemptResult::kBroken;
  if (head_sent_ && !success) co_return AttemptResult::kBroken;
  const bool another_run = runs_ + 1 < route_.max_attempts && route_.repeatable();
  const bool runner_error = head.status >= kServerError && head.status != kGatewayTimeout;
  if (head.status >= kServerError && another_run) {
    co_return runner_error ? AttemptResult::kFailed : AttemptResult::kBroken;
  }
  if (success && route_.kind == RouteKind::kStreaming) co_return co_await relay_events(runner);
  const AttemptResult result = co_await relay_body(runner);
  const bool error_relayed = runner_error && result == AttemptResult::kCompleted;
  co_return error_relayed ? AttemptResult::kErrorRelayed : result;
}

asio::awaitable<bool> OnlineRequest::send_head() {
  const UpstreamHead& upstream_head = upstream_->head();
  ResponseHead head;
  head.status = upstream_head.status;
  head.framing = caller_framing(upstream_head.framing, exchange_);
  head.length = upstream_head.length;
  for (const auto& header : upstream_head.headers) {
    if (!is_connection_header(header.name)) head.headers.push_back(header);
  }
  head_sent_ = true;
  response_delay_ = monotonic_now() - arrival_;
  context_.metrics.first_event.observe(*response_delay_);
  const bool sent = co_await exchange_.start_response(head);
  if (!sent) stop(RequestOutcome::kCallerDisconnected);
  co_return sent;
}

void OnlineRequest::record_first_event(Runner& runner) {
  if (stage_ == RunStage::kDelivering) return;
  stage_ = RunStage::kDelivering;
  const TimePoint now = monotonic_now();
  const Duration time = now - attempt_start_;
  context_.first_event_times.observe(route_.name, time);
  if (!context_.load_policy.uses_runner_speeds) return;
  context_.speeds.observe_first_event(stable_hash(route_.name), runner.speed(), runner_work_, time,
                                      now);
  if (!expected_times_) return;
  context_.metrics.first_event_expected.observe(expected_times_->first_event);
  context_.metrics.first_event_observed.observe(time);
}

void OnlineRequest::record_event_gap(Runner& runner) {
  if (!context_.load_policy.uses_runner_speeds || !last_event_) return;
  const TimePoint now = monotonic_now();
  const auto gap = gap_window_.advance(*last_event_, now);
  if (!gap) return;
  context_.speeds.observe_gap(stable_hash(route_.name), runner.speed(), runner.load(now), *gap,
                              now);
}

asio::awaitable<AttemptResult> OnlineRequest::relay_body(Runner& runner) {
  std::string_view view;
  while (true) {
    const UpstreamStatus status = co_await upstream_->read_body(view);
    if (status != UpstreamStatus::kOk) co_return classify_failure(status);
    if (!head_sent_) {
      const bool sent = co_await send_head();
      if (!sent) co_return AttemptResult::kStopped;
    }
    if (view.empty()) break;
    record_first_event(runner);
    const bool written = co_await exchange_.write_ahead(view);
    if (!written) stop(RequestOutcome::kCallerDisconnected);
    if (stopped_) co_return AttemptResult::kStopped;
  }
  // The response to HEAD has no body that could be cut off.
  if (exchange_.method() == "HEAD") co_return AttemptResult::kCompleted;
  co_return co_await check_end(runner, ResponseEndCheck::Proof::kOneRun);
}

asio::awaitable<bool> OnlineRequest::send_complete_events(Runner& runner, std::string_view bytes,
                                                          bool& invalid) {
  invalid = !framer_.feed(bytes);
  std::string events;
  while (!invalid) {
    const auto event = framer_.next();
    if (!event) break;
    if (event->id) {
      const bool expected = !last_event_ || *event->id == *last_event_ + 1;
      if (!expected) invalid = true;
      if (!expected) break;
      last_event_ = event->id;
    }
    events.append(event->raw);
  }
  if (events.empty()) co_return true;
  record_origin(runner);
  if (!delivered_events_) quarantine_check_.record_first_event();
  delivered_events_ = true;
  record_first_event(runner);
  record_event_gap(runner);
  if (!head_sent_) {
    const bool sent = co_await send_head();
    if (!sent) co_return false;
  } else {
    context_.metrics.event_gap.observe(monotonic_now() - last_write_);
  }
  last_write_ = monotonic_now();
  const bool written = co_await exchange_.write_ahead(events);
  if (!written) stop(RequestOutcome::kCallerDisconnected);
  co_return !stopped_;
}

asio::awaitable<AttemptResult> OnlineRequest::relay_events(Runner& runner) {
  framer_ = EventFramer(*context_.memory);
  gap_window_ = EventGapWindow{kGapWindowEvents};
  std::string_view view;
  while (true) {
    const UpstreamStatus status = co_await upstream_->read_body(view);
    if (status != UpstreamStatus::kOk) co_return classify_failure(status);
    if (view.empty()) break;
    bool invalid = false;
    const std::optional<std::uint64_t> event_before = last_event_;
    runner.record_receive(monotonic_now(), upstream_->connected());
    const bool delivered = co_await send_complete_events(runner, view, invalid);
    if (!delivered) co_return AttemptResult::kStopped;
    if (invalid) co_return AttemptResult::kBroken;
    const bool resumable = route_.resumable && runs_ + 1 < route_.max_attempts;
    // Bytes without a new event, which a runner in trouble may send without end, are no progress.
    if (resumable && last_event_ == event_before) continue;
    if (resumable) {
      start_silence_timeout(scale(route_.event_gap_objective, kEventGapTimeoutFactor));
    } else {
      silence_timeout_ = Duration{0};
      upstream_->set_deadline(deadline_);
    }
  }
  if (!framer_.remainder().empty()) co_return AttemptResult::kBroken;
  // A live runner in trouble may also close the connection right after the head.
  const auto proof =
      delivered_events_ ? ResponseEndCheck::Proof::kOneRun : ResponseEndCheck::Proof::kTwoRuns;
  const AttemptResult result = co_await check_end(runner, proof);
  if (result != AttemptResult::kCompleted) co_return result;
  if (!head_sent_) {
    const bool sent = co_await send_head();
    if (!sent) co_return AttemptResult::kStopped;
  }
  co_return AttemptResult::kCompleted;
}

asio::awaitable<AttemptResult> OnlineRequest::check_end(const Runner& runner,
                                                        ResponseEndCheck::Proof proof) {
  const ResponseEnd end =
      co_await end_check_.check(upstream_->head(), runner, route_.host, last_event_, proof);
  if (stopped_) co_return AttemptResult::kStopped;
  co_return end == ResponseEnd::kComplete ? AttemptResult::kCompleted : AttemptResult::kBroken;
}

/// The runner is done and its slot is released; the caller may still be reading.
asio::awaitable<void> OnlineRequest::finish_response() {
  const bool delivered = co_await exchange_.finish_stream();
  if (!delivered) stop(RequestOutcome::kCallerDisconnected);
  if (!stopped_) outcome_ = RequestOutcome::kServed;
}

}  // namespace stoathold
