#include "gateway/online_request.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"
#include "base/scoped_count.h"
#include "gateway/headers.h"
#include "gateway/prompt_prefix.h"
#include "gateway/runner_probe.h"
#include "gateway/runner_response.h"
#include "net/http_target.h"
#include "routing/runner_selector.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Connect timeout; a runner that takes longer counts as unreachable.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Factor of the latency objective for which a repeatable request waits for a silent runner.
constexpr double kFirstEventTimeoutFactor = 1.5;
/// Lower bound of the silence timeout.
constexpr Duration kMinSilenceTimeout = std::chrono::milliseconds(300);
/// Factor of the silence timeout for a runner that responds to other requests.
constexpr int kBusyFactor = 4;
/// Longest idle time of a pooled connection that is used for a request which may not be repeated.
/// Runners that close idle connections after less than a second do not announce their timeout; a
/// connection that was used within this time is not about to be closed for being idle. Longer idle
/// times are allowed only for requests that may be repeated.
constexpr Duration kMaxIdleTimeIfUnsafe = std::chrono::milliseconds(200);
/// Maximum number of runners that a request is sent to before it is refused.
constexpr std::uint32_t kMaxSends = 6;
/// Timeout of a request for which neither the caller nor the route sets one.
constexpr Duration kDefaultTimeout = std::chrono::seconds(60);

/// Returns whether the caller has the response of the runner.
bool is_final(AttemptResult result) {
  return result == AttemptResult::kCompleted || result == AttemptResult::kErrorRelayed;
}

}  // namespace

std::string_view to_string(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kServed:
      return "served";
    case RequestOutcome::kRefused:
      return "refused";
    case RequestOutcome::kFailed:
      return "failed";
    case RequestOutcome::kIncomplete:
      return "broken_off";
    case RequestOutcome::kTimedOut:
      return "timed_out";
    case RequestOutcome::kCallerDisconnected:
      break;
  }
  return "caller_gone";
}

OnlineRequest::OnlineRequest(GatewayContext& context, HttpExchange& exchange,
                             std::shared_ptr<const ServingConfiguration> configuration,
                             const Route& route, Caller caller)
    : context_(context),
      exchange_(exchange),
      configuration_(std::move(configuration)),
      route_(route),
      caller_(std::move(caller)),
      quarantine_check_(context.quarantine,
                        {.tenant = caller_.tenant,
                         .host = route.host,
                         .target = exchange.target(),
                         .body = exchange.body()},
                        RequestSource::kOnline),
      service_(context.split.next_service(route)),
      arrival_(monotonic_now()),
      deadline_timer_(exchange.executor()),
      runner_queue_timer_(exchange.executor()),
      end_check_(context) {
  read_request();
}

void OnlineRequest::read_request() {
  const HeaderDialect& dialect = context_.dialect;
  Duration time_limit = route_.timeout.count() > 0 ? route_.timeout : kDefaultTimeout;
  const auto limit_ms = parse_number(exchange_.header(dialect.deadline_ms));
  if (limit_ms) time_limit = std::min<Duration>(time_limit, std::chrono::milliseconds(*limit_ms));
  deadline_ = arrival_ + time_limit;
  id_ = std::string(exchange_.header(dialect.request_id));
  last_event_ = parse_number(exchange_.header(dialect.last_event_id));
  resumed_attempt_ = std::string(exchange_.header(dialect.resumes));
  const bool names_event = !exchange_.header(dialect.last_event_id).empty();
  is_resumption_ = names_event && route_.kind == RouteKind::kStreaming;
  has_malformed_position_ = is_resumption_ && !last_event_;
  const std::string_view connection = exchange_.header("Connection");
  for (auto& header : exchange_.headers()) {
    const bool replaced = same_header_name(header.name, dialect.deadline_ms) ||
                          (last_event_ && same_header_name(header.name, dialect.last_event_id));
    if (replaced || is_stripped_header(dialect, header.name)) continue;
    if (names_header(connection, header.name)) continue;
    forwarded_headers_.push_back(std::move(header));
  }
  const std::string_view prompt_prefix = exchange_.header(dialect.prompt_prefix);
  prompt_ = parse_prompt_prefix(prompt_prefix);
  quarantine_check_.set_prompt_prefix(prompt_prefix);
  quarantine_check_.set_service(service_);
  if (!route_.prefix_affinity) prompt_.shared_key = 0;
}

void OnlineRequest::start_cancellation_watches() {
  exchange_.watch_disconnect([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self) self->stop(RequestOutcome::kCallerDisconnected);
  });
  deadline_timer_.expires_after(std::max(Duration{0}, deadline_ - arrival_));
  deadline_timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self) self->stop(RequestOutcome::kTimedOut);
  });
}

void OnlineRequest::stop(RequestOutcome outcome) {
  if (stopped_) return;
  stopped_ = true;
  outcome_ = outcome;
  if (ticket_) ticket_->cancel();
  if (upstream_) upstream_->cancel();
  end_check_.cancel();
  if (head_sent_ || outcome == RequestOutcome::kCallerDisconnected) exchange_.abort();
}

asio::awaitable<RequestOutcome> OnlineRequest::serve() {
  const auto self = shared_from_this();
  const ScopedCount in_progress(context_.metrics.requests_open);
  start_cancellation_watches();
  co_await run();
  deadline_timer_.cancel();
  co_return outcome_;
}

asio::awaitable<void> OnlineRequest::run() {
  if (has_malformed_position_) {
    co_await refuse_malformed_position();
    co_return;
  }
  bool may_run = true;
  if (is_resumption_) may_run = co_await resolve_origin();
  if (may_run) co_await run_attempts();
}

asio::awaitable<void> OnlineRequest::run_attempts() {
  while (!stopped_ && sends_ < kMaxSends) {
    // A request that crashes its runners is retried under other ids at any node. Identified by its
    // content it crashes 3 runners and those that it reached in the meantime; identified by its id
    // it caused 40 crashes among 12 runners.
    std::shared_ptr<Runner> runner;
    is_on_trial_ = quarantine_check_.is_quarantined() &&
                   (has_claimed_trial_ || quarantine_check_.is_trial_due());
    if (is_on_trial_ || !quarantine_check_.is_held_back()) runner = co_await acquire_slot();
    if (runner && is_on_trial_ && !has_claimed_trial_) {
      std::vector<QuarantineTrial> trials = quarantine_check_.trials();
      has_claimed_trial_ = co_await context_.claim_quarantine_trials(std::move(trials));
      if (stopped_) {
        release_slot(*runner);
        break;
      }
    }
    if (!stopped_ && !has_claimed_trial_ && quarantine_check_.is_held_back()) {
      co_await refuse_held_back(runner);
      co_return;
    }
    if (!runner) break;
    // After a suspension of the machine, a slot may be acquired before the deadline timer fires.
    if (monotonic_now() >= deadline_) {
      release_slot(*runner);
      stop(RequestOutcome::kTimedOut);
      break;
    }
    if (access_revoked()) {
      co_await refuse_revoked_access(*runner);
      co_return;
    }
    ++sends_;
    tried_runners_.push_back(runner->hash());
    const AttemptResult result = co_await attempt(runner);
    context_.placement.capacity_changed();
    if (is_final(result)) {
      co_await finish_response();
      co_return;
    }
    // At the deadline the caller gets a 504 response instead of a closed connection.
    if (result == AttemptResult::kStopped || is_unsendable_) break;
    if (may_have_run(result)) {
      if (!may_run_again()) break;
      if (head_sent_) ++context_.metrics.resumes;
    }
  }
  co_await finish_without_response();
}

/// The caller's key may have been revoked while the request waited. A stream that has begun is not
/// interrupted.
bool OnlineRequest::access_revoked() const {
  if (head_sent_ || context_.configuration == configuration_) return false;
  return !is_still_allowed(*context_.configuration, route_, caller_);
}

void OnlineRequest::release_slot(Runner& runner) {
  runner.end_attempt(AttemptOutcome::kAbandoned, monotonic_now(),
                     std::exchange(uncached_tokens_, 0));
  context_.placement.capacity_changed();
}

asio::awaitable<void> OnlineRequest::refuse_revoked_access(Runner& runner) {
  release_slot(runner);
  if (runs_ > 0) {
    co_await finish_without_response();
  } else {
    const Refusal refusal{.status = 401, .reason = "key_unknown"};
    co_await refuse(refusal);
  }
}

bool OnlineRequest::may_run_again() const {
  if (runs_ >= route_.max_attempts) return false;
  return head_sent_ ? route_.resumable && last_event_ : route_.repeatable();
}

bool OnlineRequest::has_alternative() const {
  if (runs_ + 1 >= route_.max_attempts) return false;
  SelectionRequest request{.service = service_, .zone = context_.zone, .excluded = tried_runners_};
  if (origin_) request.software_version = origin_->version;
  return select_runner(context_.runners, request, monotonic_now()).runner != nullptr;
}

Duration OnlineRequest::max_idle_time() const {
  if (route_.repeatable()) return Duration::max();
  return context_.load_policy.reuses_connections ? kMaxIdleTimeIfUnsafe : Duration{0};
}

UpstreamRequest OnlineRequest::build_request(const Runner& runner) const {
  const HeaderDialect& dialect = context_.dialect;
  UpstreamRequest request;
  request.address = runner.record().address;
  request.runner = runner.hash();
  request.method = std::string(exchange_.method());
  request.target = std::string(exchange_.target());
  request.body = exchange_.body();
  request.request_id = id_;
  request.max_idle_time = max_idle_time();
  request.headers = forwarded_headers_;
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - monotonic_now());
  const auto remaining_ms = std::max<std::int64_t>(1, remaining.count());
  request.headers.push_back({dialect.deadline_ms, std::to_string(remaining_ms)});
  request.headers.push_back({dialect.expected_instance, runner.record().id});
  if (!caller_.tenant.empty()) request.headers.push_back({dialect.tenant, caller_.tenant});
  if (last_event_) request.headers.push_back({dialect.last_event_id, std::to_string(*last_event_)});
  return request;
}

void OnlineRequest::start_silence_timeout(Duration timeout) {
  silence_timeout_ = std::max(timeout, kMinSilenceTimeout);
  silent_since_ = monotonic_now();
  upstream_->set_deadline(std::min(silent_since_ + silence_timeout_, deadline_));
}

/// A runner that is silent only for this request is busy, and another runner would not be faster.
/// The attempt is abandoned when the runner has been silent for all requests of this node, or for
/// `kBusyFactor` times the silence timeout.
void OnlineRequest::watch_silence(const std::shared_ptr<Runner>& runner) {
  upstream_->set_deadline_extender([this, runner]() -> std::optional<TimePoint> {
    const TimePoint now = monotonic_now();
    if (silence_timeout_.count() == 0 || now >= deadline_) return std::nullopt;
    const bool active = runner->last_receive_time() > silent_since_;
    if (!active || now >= silent_since_ + kBusyFactor * silence_timeout_) return std::nullopt;
    return std::min(now + silence_timeout_ / 2, deadline_);
  });
}

/// Until the first event arrives, the request may be waiting in the runner's own queue; batch work
/// is then asked to release slots of that runner.
void OnlineRequest::watch_runner_queue(const std::shared_ptr<Runner>& runner, bool repeated) {
  runner_queue_timer_.expires_after(PlacementQueue::yield_delay(repeated));
  runner_queue_timer_.async_wait(
      [weak = weak_from_this(), runner](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->stopped_ || self->stage_ == RunStage::kDelivering) return;
        const bool requested = self->context_.placement.preempt_if_overcommitted(*runner);
        self->watch_runner_queue(runner, requested);
      });
}

void OnlineRequest::reset_attempt() {
  silence_timeout_ = Duration{0};
  attempt_start_ = monotonic_now();
  stage_ = RunStage::kWaiting;
  delivered_events_ = false;
}

/// Records that the request was sent, and starts the timers of the attempt.
void OnlineRequest::record_sent(const std::shared_ptr<Runner>& runner) {
  quarantine_check_.record_send();
  watch_silence(runner);
  watch_runner_queue(runner, false);
  const bool retryable = route_.repeatable() && has_alternative();
  if (retryable) start_silence_timeout(scale(route_.latency_objective, kFirstEventTimeoutFactor));
}

asio::awaitable<AttemptResult> OnlineRequest::attempt(const std::shared_ptr<Runner>& runner) {
  const RunnerMemoryReservation hold(runner, prompt_.tokens);
  const auto upstream = std::make_shared<UpstreamExchange>(context_.pool);
  upstream_ = upstream;
  upstream->set_deadline(deadline_);
  reset_attempt();
  const bool requires_live_runner = is_on_trial_ || quarantine_check_.requires_live_runner();
  UpstreamRequest request = build_request(*runner);
  if (requires_live_runner) request.probe = make_runner_probe(context_, *runner, route_.host);
  const bool is_probed = request.probe.has_value();
  UpstreamStatus status = co_await upstream->send(std::move(request), kConnectTimeout);
  AttemptResult result = classify_failure(status);
  is_unsendable_ = result == AttemptResult::kImpossible;
  if (result == AttemptResult::kUnreachable) result = unsent_result(*runner, *upstream);
  if (status == UpstreamStatus::kOk) {
    record_sent(runner);
    status = co_await upstream->read_head();
    result = classify_failure(status);
    if (status == UpstreamStatus::kOk) {
      stage_ = RunStage::kResponseStarted;
      record_response_head(context_, *runner, *upstream, uncached_tokens_);
      result = co_await relay_response(*runner);
    }
  }
  runner_queue_timer_.cancel();
  if (may_have_run(result)) {
    ++runs_;
    has_claimed_trial_ = false;
  }
  const EndedRun run{.upstream = *upstream,
                     .stage = stage_,
                     .progressed = result == AttemptResult::kCompleted,
                     .delivered_events = delivered_events_,
                     .broken = result == AttemptResult::kBroken,
                     .probe_unavailable = requires_live_runner && !is_probed};
  quarantine_check_.record_run(make_finished_run(*runner, run));
  if (result == AttemptResult::kCompleted || result == AttemptResult::kErrorRelayed) {
    upstream->release();
  } else {
    upstream->cancel();
  }
  upstream_.reset();
  runner->end_attempt(runner_outcome(result), monotonic_now(), std::exchange(uncached_tokens_, 0));
  record_slot_release(result);
  if (result != AttemptResult::kCompleted) log_attempt(*runner, result, status);
  ++context_.metrics.attempts[std::string(to_string(status))];
  co_return result;
}

AttemptResult OnlineRequest::classify_failure(UpstreamStatus status) const {
  if (stopped_) return AttemptResult::kStopped;
  if (status == UpstreamStatus::kUnsendable) return AttemptResult::kImpossible;
  return status == UpstreamStatus::kNotSent ? AttemptResult::kUnreachable : AttemptResult::kBroken;
}

}  // namespace stoathold
