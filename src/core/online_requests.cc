#include "core/online_requests.h"

#include <algorithm>
#include <mutex>

#include "core/policy_switches.h"

namespace stoathold {
namespace {

constexpr std::uint64_t kOnlineStreamBit = 1ULL << 62U;
constexpr std::size_t kHistoryLimit = 512;
constexpr Duration kBusyRetryAfter = std::chrono::seconds(1);
constexpr Duration kDrainRetryAfter = std::chrono::milliseconds(200);

std::string describe_pick(PickReason reason) {
  switch (reason) {
    case PickReason::kAffinity:
      return "prefix affinity";
    case PickReason::kLessLoaded:
      return "less loaded of two";
    case PickReason::kOtherZone:
      return "no free place in this zone";
    case PickReason::kNone:
      return "none";
  }
  return "none";
}

StreamResult to_stream_verdict(StreamOutcome outcome) {
  if (outcome == StreamOutcome::kCompleted) return StreamResult::kSucceeded;
  return outcome == StreamOutcome::kCancelled ? StreamResult::kNeutral : StreamResult::kFailed;
}

std::string describe_outcome(StreamOutcome outcome) {
  switch (outcome) {
    case StreamOutcome::kCompleted:
      return "completed";
    case StreamOutcome::kNotSent:
      return "not sent";
    case StreamOutcome::kRefused:
      return "refused by the engine";
    case StreamOutcome::kBroken:
      return "broken";
    case StreamOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace

bool is_online_stream(StreamId stream) {
  return (value_of(stream) & kOnlineStreamBit) != 0;
}

OnlineRequests::OnlineRequests(std::uint64_t seed, const Knobs& knobs,
                               const ConfigurationSystem& configuration, RunnerTable& runners,
                               ShardClient& caller)
    : knobs_(knobs),
      configuration_(configuration),
      runners_(runners),
      caller_(caller),
      random_(seed) {}

ErrorCode OnlineRequests::check_tenant_limits(const OnlineRequest& request, TimePoint now) {
  const TenantSpecification limits = configuration_.tenant(request.tenant);
  auto& tenant = tenants_[request.tenant];
  if (!tenant.initialized) {
    tenant.initialized = true;
    tenant.retry_tokens = knobs_.retry_budget_capacity;
    tenant.rate_tokens = limits.requests_per_second;
    tenant.rate_updated = now;
  }
  if (limits.max_concurrent != 0 && tenant.open >= limits.max_concurrent) {
    return ErrorCode::kTenantLimit;
  }
  if (limits.requests_per_second == 0) return ErrorCode::kNone;
  const double refilled = to_seconds(now - tenant.rate_updated) * limits.requests_per_second;
  tenant.rate_updated = now;
  tenant.rate_tokens = std::min<double>(tenant.rate_tokens + refilled, limits.requests_per_second);
  if (tenant.rate_tokens < 1.0) return ErrorCode::kTenantLimit;
  tenant.rate_tokens -= 1.0;
  return ErrorCode::kNone;
}

void OnlineRequests::admit(const OnlineRequest& request, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  if (draining_) {
    finish_with_error(request.id, ErrorCode::kDraining, Step::kAdmit, Execution::kNotRun, "",
                      effects);
    return;
  }
  const auto service = configuration_.service(request.service);
  if (!service) {
    const auto code = configuration_.current() ? ErrorCode::kUnknownModel : ErrorCode::kNotReady;
    finish_with_error(request.id, code, Step::kAdmit, Execution::kNotRun, "", effects);
    return;
  }
  const ErrorCode limit_error = check_tenant_limits(request, now);
  if (limit_error != ErrorCode::kNone) {
    finish_with_error(request.id, limit_error, Step::kAdmit, Execution::kNotRun, "", effects);
    return;
  }
  ++counters_.admitted;
  auto& tenant = tenants_[request.tenant];
  ++tenant.open;
  tenant.retry_tokens =
      std::min(tenant.retry_tokens + knobs_.retry_budget_ratio, knobs_.retry_budget_capacity);
  OpenRequest row;
  row.request = request;
  row.tokens = request.delivered_tokens;
  row.service = service->specification;
  row.deadline = now + (request.deadline.count() > 0 ? request.deadline : knobs_.default_deadline);
  row.backoff = knobs_.retry_backoff;
  row.history.id = request.id;
  row.history.service = request.service;
  auto& stored = requests_[request.id] = std::move(row);
  const bool has_idempotency_key = request.unsafe_to_repeat && !request.idempotency_key.empty();
  if (has_idempotency_key && policy_switches().claim_before_dispatch) {
    claim(stored, now, effects);
  } else {
    dispatch(stored, now, effects);
  }
}

void OnlineRequests::claim(OpenRequest& row, TimePoint now, Effects& effects) {
  const auto& request = row.request;
  const std::uint64_t key = stable_hash(request.idempotency_key, stable_hash(request.tenant));
  row.phase = Phase::kClaiming;
  const ClaimRequestCall call{key, value_of(request.id)};
  const Duration claim_timeout = std::min(knobs_.call_timeout, row.deadline - now);
  row.claim_call = caller_.start(shard_of(key, knobs_), call, claim_timeout, now, effects);
  claims_[row.claim_call] = request.id;
  row.history.lines.emplace_back("claims its key in the log before any dispatch");
}

bool OnlineRequests::on_call_finished(const FinishedCall& finished, TimePoint now,
                                      Effects& effects) {
  const std::scoped_lock lock(mutex_);
  const auto found = claims_.find(finished.call);
  if (found == claims_.end()) return false;
  const RequestId id = found->second;
  claims_.erase(found);
  const auto position = requests_.find(id);
  if (position == requests_.end()) return true;
  auto& row = position->second;
  if (const auto* verdict = std::get_if<ClaimResult>(&finished.answer)) {
    if (verdict->granted) {
      dispatch(row, now, effects);
    } else {
      const Execution execution =
          policy_switches().report_unknown_execution ? Execution::kUnknown : Execution::kNotRun;
      finish_with_error(id, ErrorCode::kDuplicateKey, Step::kClaim, execution, "", effects);
    }
    return true;
  }
  finish_with_error(id, ErrorCode::kLogUnavailable, Step::kClaim, Execution::kNotRun, "log",
                    effects);
  return true;
}

void OnlineRequests::dispatch(OpenRequest& row, TimePoint now, Effects& effects) {
  const RequestId id = row.request.id;
  if (now >= row.deadline) {
    end_with_error(id, ErrorCode::kDeadlineExceeded, Step::kDispatch, effects);
    return;
  }
  PickQuery query;
  query.service = row.request.service;
  query.slots = row.service.runner_slots;
  query.prefix = row.request.prefix;
  query.excluded = row.failed_runners;
  Pick pick = runners_.pick(query, now);
  if (pick.reason == PickReason::kNone && !pick.all_full && !query.excluded.empty()) {
    query.excluded.clear();
    pick = runners_.pick(query, now);
  }
  if (pick.reason == PickReason::kNone) {
    const auto code = pick.all_full ? ErrorCode::kOverloaded : ErrorCode::kNoRunner;
    end_with_error(id, code, Step::kRoute, effects);
    return;
  }
  row.phase = Phase::kStreaming;
  row.stream = StreamId{kOnlineStreamBit | ++last_stream_};
  row.runner = pick.runner;
  ++row.dispatches;
  ++counters_.dispatches;
  streams_[row.stream] = id;
  runners_.on_stream_started(pick.runner);
  row.history.lines.push_back("dispatched to " + pick.address + " (" + describe_pick(pick.reason) +
                              ") behind token " + std::to_string(row.tokens));
  OpenStream open;
  open.stream = row.stream;
  open.runner = pick.runner;
  open.address = pick.address;
  open.request = id;
  open.resume_tokens = policy_switches().drop_repeated_tokens ? row.tokens : 0;
  open.first_token_timeout = std::chrono::milliseconds(row.service.first_token_timeout_ms);
  effects.push_back(std::move(open));
}

bool OnlineRequests::on_stream_ended(const StreamEnd& end, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  if (!is_online_stream(end.stream)) return false;
  const auto found = streams_.find(end.stream);
  if (found == streams_.end()) return true;
  const RequestId id = found->second;
  streams_.erase(found);
  auto& row = requests_.at(id);
  runners_.on_stream_ended(row.runner, to_stream_verdict(end.outcome), now);
  row.tokens = std::max(row.tokens, end.tokens);
  row.history.lines.push_back("stream " + describe_outcome(end.outcome) + " at token " +
                              std::to_string(end.tokens));
  if (end.outcome == StreamOutcome::kCompleted) {
    ++counters_.completed;
    finish(id, true, {}, effects);
  } else if (end.outcome == StreamOutcome::kCancelled) {
    end_with_error(id, ErrorCode::kCancelled, Step::kStream, effects);
  } else {
    retry_or_end(row, end, now, effects);
  }
  return true;
}

void OnlineRequests::retry_or_end(OpenRequest& row, const StreamEnd& end, TimePoint now,
                                  Effects& effects) {
  const RequestId id = row.request.id;
  const bool not_sent = end.outcome == StreamOutcome::kNotSent;
  if (not_sent) --row.dispatches;
  const bool may_retry =
      !row.request.unsafe_to_repeat || not_sent || !policy_switches().no_retry_after_unknown;
  const bool is_broken = end.outcome == StreamOutcome::kBroken;
  const auto code = is_broken ? ErrorCode::kEngineTimeout : ErrorCode::kEngineFailed;
  row.failed_runners.push_back(row.runner);
  if (!may_retry || row.failed_runners.size() >= knobs_.max_dispatches) {
    end_with_error(id, code, Step::kStream, effects);
    return;
  }
  auto& tenant = tenants_[row.request.tenant];
  if (tenant.retry_tokens < 1.0) {
    end_with_error(id, ErrorCode::kRetryBudgetSpent, Step::kDispatch, effects);
    return;
  }
  tenant.retry_tokens -= 1.0;
  ++counters_.retries;
  const auto jitter = random_.below(static_cast<std::uint64_t>(row.backoff.count()) + 1);
  row.retry_at = now + row.backoff / 2 + Duration{static_cast<Duration::rep>(jitter)};
  row.backoff *= 2;
  row.phase = Phase::kWaiting;
}

void OnlineRequests::tick(TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  std::vector<RequestId> due;
  std::vector<RequestId> expired;
  for (auto& [id, row] : requests_) {
    if (now >= row.deadline) {
      expired.push_back(id);
    } else if (row.phase == Phase::kWaiting && now >= row.retry_at) {
      due.push_back(id);
    }
  }
  std::sort(due.begin(), due.end());
  std::sort(expired.begin(), expired.end());
  for (const RequestId id : expired) {
    const auto& row = requests_.at(id);
    if (row.phase == Phase::kStreaming) effects.push_back(CancelStream{row.stream});
    end_with_error(id, ErrorCode::kDeadlineExceeded, Step::kStream, effects);
  }
  for (const RequestId id : due) dispatch(requests_.at(id), now, effects);
}

void OnlineRequests::cancel(RequestId request, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  if (found->second.phase == Phase::kStreaming) {
    effects.push_back(CancelStream{found->second.stream});
  }
  end_with_error(request, ErrorCode::kCancelled, Step::kStream, effects);
}

Execution OnlineRequests::execution_status(const OpenRequest& row) const {
  if (!policy_switches().report_unknown_execution) return Execution::kNotRun;
  return row.dispatches == 0 ? Execution::kNotRun : Execution::kUnknown;
}

void OnlineRequests::end_with_error(RequestId id, ErrorCode code, Step step, Effects& effects) {
  const auto& row = requests_.at(id);
  std::string peer;
  if (row.dispatches > 0) {
    if (const auto runner = runners_.find(row.runner)) peer = runner->listed.name;
  }
  finish_with_error(id, code, step, execution_status(row), std::move(peer), effects);
}

Duration OnlineRequests::choose_retry_after(ErrorCode code) {
  if (code == ErrorCode::kUnknownModel || code == ErrorCode::kDuplicateKey) return Duration{0};
  const Duration base = code == ErrorCode::kDraining ? kDrainRetryAfter : kBusyRetryAfter;
  const auto jitter = random_.below(static_cast<std::uint64_t>(base.count()));
  return base + Duration{static_cast<Duration::rep>(jitter)};
}

void OnlineRequests::finish_with_error(RequestId id, ErrorCode code, Step step, Execution execution,
                                       std::string peer, Effects& effects) {
  Error error{make_error_code(code),   step, std::move(peer), "", execution,
              choose_retry_after(code)};
  if (execution == Execution::kNotRun) {
    ++counters_.refused;
  } else {
    ++counters_.failed;
  }
  finish(id, false, std::move(error), effects);
}

void OnlineRequests::finish(RequestId id, bool succeeded, Error error, Effects& effects) {
  if (auto node = requests_.extract(id); !node.empty()) {
    auto& row = node.mapped();
    if (row.phase == Phase::kStreaming && streams_.erase(row.stream) > 0) {
      runners_.on_stream_ended(row.runner, StreamResult::kNeutral, TimePoint{});
    }
    auto& tenant = tenants_[row.request.tenant];
    if (tenant.open > 0) --tenant.open;
    if (!succeeded) {
      row.history.lines.push_back("refused at step " + std::string(to_string(error.step)) + ": " +
                                  error.code.message() + " (" +
                                  std::string(to_string(error.execution)) + ")");
    }
    history_.push_back(std::move(row.history));
    if (history_.size() > kHistoryLimit) history_.pop_front();
  }
  effects.push_back(FinishRequest{id, succeeded, std::move(error)});
}

std::size_t OnlineRequests::open_requests() const {
  const std::scoped_lock lock(mutex_);
  return requests_.size();
}

OnlineCounters OnlineRequests::counters() const {
  const std::scoped_lock lock(mutex_);
  return counters_;
}

std::vector<RequestHistory> OnlineRequests::history() const {
  const std::scoped_lock lock(mutex_);
  std::vector<RequestHistory> all(history_.begin(), history_.end());
  for (const auto& [id, row] : requests_) all.push_back(row.history);
  return all;
}

}  // namespace stoathold
