// The end of a request that has no complete response of a runner: refusals and log events.
#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"
#include "gateway/online_request.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Default Retry-After, in seconds, of a request that was not run.
constexpr const char* kRetryAfterSeconds = "0.2";
constexpr int kHeaderFieldsTooLarge = 431;

}  // namespace

/// The request is refused at once: no runner will run it before the time that the refusal names.
asio::awaitable<void> OnlineRequest::refuse_held_back(std::shared_ptr<Runner> runner) {
  if (runner) release_slot(*runner);
  if (head_sent_ || runs_ > 0) {
    co_await finish_without_response();
    co_return;
  }
  const bool is_quarantined = quarantine_check_.is_quarantined();
  const Refusal refusal{.status = 503,
                        .reason = is_quarantined ? "quarantined" : "backing_off",
                        .advice = RetryAdvice::kComputedDelay,
                        .retry_after = quarantine_check_.retry_after()};
  co_await refuse(refusal);
}

/// Refuses a request that has not run and could not start within the caller's time limit.
asio::awaitable<void> OnlineRequest::refuse_rejected() {
  Refusal refusal{
      .status = 503, .reason = to_string(rejection_->reason).data(), .advice = RetryAdvice::kNone};
  if (rejection_->retry_after) {
    refusal.advice = RetryAdvice::kComputedDelay;
    refusal.retry_after = *rejection_->retry_after;
    context_.admission.record_retry_advice(quarantine_check_.content(), service_, caller_.tenant,
                                           *rejection_);
  }
  co_await refuse(refusal);
}

asio::awaitable<void> OnlineRequest::finish_without_response() {
  if (head_sent_) {
    // Complete events that arrived before the failure are delivered.
    if (!stopped_) co_await exchange_.flush();
    exchange_.abort();
    if (!stopped_) outcome_ = RequestOutcome::kIncomplete;
    co_return;
  }
  if (stopped_ && outcome_ == RequestOutcome::kCallerDisconnected) co_return;
  if (stopped_) {
    const Refusal refusal{
        .status = 504, .outcome = RequestOutcome::kTimedOut, .reason = "deadline"};
    co_await refuse(refusal);
  } else if (runs_ == 0 && is_unsendable_) {
    const Refusal refusal{.status = kHeaderFieldsTooLarge, .reason = "header_too_long"};
    co_await refuse(refusal);
  } else if (runs_ == 0 && rejection_) {
    co_await refuse_rejected();
  } else if (runs_ == 0 && origin_ && !has_runner_of_origin()) {
    co_await refuse_resumption(kNoRunnerOfVersion);
  } else if (runs_ == 0) {
    const Refusal refusal{.status = 503, .reason = "no_runner"};
    co_await refuse(refusal);
  } else {
    const Refusal refusal{
        .status = 502, .outcome = RequestOutcome::kFailed, .reason = "runner_failed"};
    co_await refuse(refusal);
  }
}

asio::awaitable<void> OnlineRequest::refuse(Refusal refusal) {
  outcome_ = refusal.outcome;
  ++context_.metrics.refusals[refusal.reason];
  std::string retry_after;
  if (refusal.status == 503 && refusal.advice == RetryAdvice::kDefaultDelay) {
    retry_after = kRetryAfterSeconds;
  } else if (refusal.status == 503 && refusal.advice == RetryAdvice::kComputedDelay) {
    retry_after = decimal_text(to_seconds(refusal.retry_after));
  }
  log_event(Event::kRequestUnanswered,
            {{"request", id_},
             {"route", route_.name},
             {"status", std::to_string(refusal.status)},
             {"reason", refusal.reason},
             {"retry_after", retry_after.empty() ? "none" : retry_after},
             {"content", to_hex(value_of(quarantine_check_.content()))},
             {"quarantined_parts", quarantine_check_.quarantined_parts_text()},
             {"sends", std::to_string(sends_)},
             {"runs", std::to_string(runs_)},
             {"runners_known", std::to_string(context_.runners.for_service(service_).size())},
             {"configuration", std::to_string(configuration_->version)},
             {"age_ms", milliseconds_text(monotonic_now() - arrival_)}});
  std::vector<HttpHeader> headers;
  if (!retry_after.empty()) headers.push_back({"Retry-After", std::move(retry_after)});
  std::string body = std::string("{\"error\":\"") + refusal.reason + "\"}";
  co_await exchange_.respond(refusal.status, "application/json", std::move(body),
                             std::move(headers));
}

void OnlineRequest::log_attempt(const Runner& runner, AttemptResult result, UpstreamStatus status) {
  const std::uint64_t last = last_event_.value_or(0);
  log_event(Event::kAttemptFailed, {{"request", id_},
                                    {"runner", runner.record().id},
                                    {"address", runner.record().address},
                                    {"result", std::string(to_string(result))},
                                    {"step", std::string(to_string(status))},
                                    {"stage", std::string(to_string(stage_))},
                                    {"content", to_hex(value_of(quarantine_check_.content()))},
                                    {"parts", quarantine_check_.parts_text()},
                                    {"choice", choice_text_},
                                    {"failures", std::to_string(runner.failures())},
                                    {"last_event", std::to_string(last)},
                                    {"age_ms", milliseconds_text(monotonic_now() - arrival_)}});
}

}  // namespace stoathold
