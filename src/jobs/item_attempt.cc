// One attempt of a batch item at a runner: the request, its response, and what both show.
#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/ids.h"
#include "gateway/headers.h"
#include "gateway/runner_probe.h"
#include "gateway/runner_response.h"
#include "jobs/item_run.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
/// Maximum wait for the first event and for each later one; then another runner resumes the item.
constexpr Duration kFirstEventTimeout = std::chrono::milliseconds(4000);
constexpr Duration kEventGapTimeout = std::chrono::milliseconds(1500);
/// Events over which the time between two is averaged, since runners send some of them together.
constexpr std::uint64_t kGapWindowEvents = 10;

}  // namespace

UpstreamRequest ItemRun::build_request(const Runner& runner) const {
  const HeaderDialect& dialect = context_.dialect;
  UpstreamRequest request;
  request.address = runner.record().address;
  request.runner = runner.hash();
  request.method = "POST";
  request.target = request_.path;
  request.body = request_.body;
  request.request_id = item_.item_id;
  request.headers.push_back({"Host", item_.host});
  for (const auto& [name, value] : request_.headers) {
    const bool replaced = same_header_name(name, "Host") ||
                          same_header_name(name, dialect.request_id) ||
                          same_header_name(name, dialect.last_event_id);
    if (!replaced && !is_stripped_header(dialect, name)) request.headers.push_back({name, value});
  }
  if (!item_.tenant.empty()) request.headers.push_back({dialect.tenant, item_.tenant});
  request.headers.push_back({dialect.request_id, item_.item_id});
  request.headers.push_back({dialect.expected_instance, runner.record().id});
  if (progress_.last_event > 0) {
    request.headers.push_back({dialect.last_event_id, std::to_string(progress_.last_event)});
  }
  return request;
}

asio::awaitable<AttemptResult> ItemRun::attempt(std::shared_ptr<Runner> runner) {
  const RunnerMemoryReservation hold(runner, prompt_.tokens);
  const auto upstream = std::make_shared<UpstreamExchange>(context_.pool);
  upstream_ = upstream;
  upstream->set_deadline(monotonic_now() + kFirstEventTimeout);
  runner_ = runner;
  placed_at_ = monotonic_now();
  yielding_ = false;
  stage_ = RunStage::kWaiting;
  const bool requires_live_runner = is_on_trial_ || quarantine_check_.requires_live_runner();
  UpstreamRequest request = build_request(*runner);
  if (requires_live_runner) request.probe = make_runner_probe(context_, *runner, item_.host);
  const bool is_probed = request.probe.has_value();
  UpstreamStatus status = co_await upstream->send(std::move(request), kConnectTimeout);
  AttemptResult result = AttemptResult::kBroken;
  if (status == UpstreamStatus::kNotSent) result = unsent_result(*runner, *upstream);
  if (status == UpstreamStatus::kUnsendable) result = AttemptResult::kImpossible;
  if (status == UpstreamStatus::kOk) status = co_await upstream->read_head();
  if (status == UpstreamStatus::kOk) {
    stage_ = RunStage::kResponseStarted;
    result = co_await read_answer(*runner);
  }
  if (yielding_ && result != AttemptResult::kCompleted) result = AttemptResult::kYielded;
  if (stopped_) result = AttemptResult::kStopped;
  if (yielding_) runner->end_yield();
  runner_.reset();
  if (result == AttemptResult::kCompleted) {
    upstream->release();
  } else {
    upstream->cancel();
  }
  // An item that delivered events did not crash the runner on start; a retry resumes after them.
  const EndedRun run{.upstream = *upstream,
                     .stage = stage_,
                     .progressed = stage_ == RunStage::kDelivering,
                     .delivered_events = stage_ == RunStage::kDelivering,
                     .broken = result == AttemptResult::kBroken,
                     .probe_unavailable = requires_live_runner && !is_probed};
  const FinishedRun finished = make_finished_run(*runner, run);
  runner_may_have_exited_ = finished.closed_by_runner && stage_ != RunStage::kDelivering;
  quarantine_check_.record_run(finished);
  probe_status_ = upstream->probe_status();
  const bool had_request = upstream->sent() != TimePoint{} && result != AttemptResult::kNotRun;
  if (had_request) has_claimed_trial_ = false;
  upstream_.reset();
  record_attempt(*runner, result);
  co_return result;
}

/// Counts the failures of one item against a runner only once, however often the item is retried
/// there: an item that fails everywhere must not make healthy runners suspect.
AttemptOutcome ItemRun::attempt_outcome(const Runner& runner, AttemptResult result) const {
  const bool failed_before = std::find(failed_runners_.begin(), failed_runners_.end(),
                                       runner.hash()) != failed_runners_.end();
  const bool repeated = result == AttemptResult::kFailed && failed_before;
  return repeated ? AttemptOutcome::kAbandoned : runner_outcome(result);
}

void ItemRun::record_attempt(Runner& runner, AttemptResult result) {
  runner.end_attempt(attempt_outcome(runner, result), monotonic_now(),
                     std::exchange(uncached_tokens_, 0), WorkClass::kBatch);
  if (result == AttemptResult::kCompleted) return;
  log_event(Event::kItemAttemptFailed, {{"job", item_.job},
                                        {"item", item_.item_id},
                                        {"runner", runner.record().id},
                                        {"result", std::string(to_string(result))},
                                        {"stage", std::string(to_string(stage_))},
                                        {"probe", std::to_string(probe_status_)},
                                        {"content", to_hex(value_of(quarantine_check_.content()))},
                                        {"parts", quarantine_check_.parts_text()},
                                        {"choice", choice_},
                                        {"failures", std::to_string(progress_.failures)},
                                        {"last_event", std::to_string(progress_.last_event)}});
}

asio::awaitable<AttemptResult> ItemRun::read_answer(Runner& runner) {
  record_response_head(context_, runner, *upstream_, uncached_tokens_);
  const UpstreamHead& head = upstream_->head();
  constexpr int kOk = 200;
  constexpr int kUnprocessable = 422;
  constexpr int kServerError = 500;
  if (was_not_run(runner, head, context_.dialect)) co_return AttemptResult::kNotRun;
  if (head.status == kUnprocessable) co_return AttemptResult::kImpossible;
  if (head.status == kServerError) co_return AttemptResult::kFailed;
  const bool is_invalid = head.status != kOk || is_unverified(head, context_.dialect);
  if (is_invalid) co_return AttemptResult::kBroken;
  co_return co_await read_events();
}

void ItemRun::record_origin() {
  text_service_ = runner_->record().service;
  progress_.origin = StreamOrigin{stable_hash(text_service_), runner_->software_version()};
}

void ItemRun::record_first_event() {
  if (stage_ == RunStage::kDelivering) return;
  stage_ = RunStage::kDelivering;
  quarantine_check_.record_first_event();
  if (!context_.load_policy.uses_runner_speeds) return;
  const TimePoint now = monotonic_now();
  context_.speeds.observe_first_event(stable_hash(route_name_), runner_->speed(), runner_work_,
                                      now - placed_at_, now);
}

void ItemRun::record_event_gap(EventGapWindow& window) {
  const TimePoint now = monotonic_now();
  const auto gap = window.advance(progress_.last_event, now);
  if (!gap) return;
  context_.response_durations.observe_gap(route_name_, *gap);
  if (!context_.load_policy.uses_runner_speeds) return;
  context_.speeds.observe_gap(stable_hash(route_name_), runner_->speed(), runner_->load(now), *gap,
                              now);
}

asio::awaitable<AttemptResult> ItemRun::check_end() {
  const ResponseEnd end =
      co_await end_check_.check(upstream_->head(), *runner_, item_.host, progress_.last_event,
                                ResponseEndCheck::Proof::kTwoRuns);
  if (end == ResponseEnd::kCutOff) co_return AttemptResult::kBroken;
  if (end == ResponseEnd::kUnconfirmed) co_return AttemptResult::kUnconfirmedEnd;
  context_.response_durations.observe_response(route_name_, answer_tokens_,
                                               EventCount{progress_.last_event});
  co_return AttemptResult::kCompleted;
}

asio::awaitable<AttemptResult> ItemRun::read_events() {
  EventFramer framer(*context_.memory);
  std::string_view view;
  EventGapWindow window(kGapWindowEvents);
  while (true) {
    const UpstreamStatus status = co_await upstream_->read_body(view);
    if (status != UpstreamStatus::kOk) co_return AttemptResult::kBroken;
    if (view.empty()) break;
    runner_->record_receive(monotonic_now(), upstream_->connected());
    if (!framer.feed(view)) co_return AttemptResult::kBroken;
    const std::uint64_t events_before = progress_.last_event;
    while (const auto event = framer.next()) {
      if (!event->id) continue;
      if (*event->id != progress_.last_event + 1) co_return AttemptResult::kBroken;
      if (progress_.last_event == 0) record_origin();
      if (progress_.last_event > 0) progress_.text.push_back('\n');
      progress_.text += event_data(event->raw);
      progress_.last_event = *event->id;
      record_first_event();
    }
    if (progress_.text.size() > max_text_bytes()) co_return AttemptResult::kTooLong;
    // Comments, which may keep a connection open, are no progress.
    if (progress_.last_event > events_before) {
      upstream_->set_deadline(monotonic_now() + kEventGapTimeout);
    }
    record_event_gap(window);
  }
  const bool ends_after_event = framer.remainder().empty() && progress_.last_event > 0;
  if (!ends_after_event) co_return AttemptResult::kBroken;
  co_return co_await check_end();
}

}  // namespace stoathold
