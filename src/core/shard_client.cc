#include "core/shard_client.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "core/policy_switches.h"
#include "core/rendezvous.h"

namespace stoathold {

ShardId shard_of(std::uint64_t key, const Knobs& knobs) {
  constexpr std::uint64_t kShardSalt = 0x7368617264;
  return ShardId{static_cast<std::uint32_t>(mix_hashes(key, kShardSalt) % knobs.shard_count)};
}

ShardClient::ShardClient(std::uint64_t seed, const Knobs& knobs, const Membership& membership)
    : knobs_(knobs), membership_(membership), random_(seed) {}

std::uint64_t ShardClient::start(ShardId shard, ShardRequest request, Duration timeout,
                                 TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  const std::uint64_t id = ++last_id_;
  OpenCall call;
  call.shard = shard;
  call.request = std::move(request);
  call.deadline = now + timeout;
  call.backoff = knobs_.call_retry_period;
  auto& stored = calls_[id] = std::move(call);
  send(id, stored, now, effects);
  return id;
}

void ShardClient::send(std::uint64_t id, OpenCall& call, TimePoint now, Effects& effects) {
  const auto jitter = static_cast<Duration::rep>(
      random_.below(static_cast<std::uint64_t>(call.backoff.count()) / 2 + 1));
  call.next_send = now + call.backoff + Duration{jitter};
  call.backoff = std::min(call.backoff * 2, knobs_.max_call_retry_period);
  const auto owner = rendezvous_owner(shard_subject(call.shard), membership_.shard_members());
  if (!owner) {
    call.last_code = static_cast<int>(ErrorCode::kNotReady);
    return;
  }
  const std::uint64_t attempt = ++last_id_;
  attempts_[attempt] = id;
  ++call.open_attempts;
  membership_.send(*owner, ShardCall{attempt, call.shard, call.request}, effects);
}

void ShardClient::on_reply(const ShardReply& reply, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  const auto attempt = attempts_.find(reply.call);
  if (attempt == attempts_.end()) return;
  const std::uint64_t id = attempt->second;
  attempts_.erase(attempt);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  const auto* failure = std::get_if<CallFailure>(&reply.answer);
  if (failure == nullptr) {
    finish(id, reply.answer);
    return;
  }
  if (failure->execution == static_cast<std::uint8_t>(Execution::kNotRun)) --call.open_attempts;
  call.last_code = failure->code;
  const auto code = static_cast<ErrorCode>(failure->code);
  const bool final_answer = code == ErrorCode::kNotFound || code == ErrorCode::kBadRequest ||
                            code == ErrorCode::kTooLarge;
  const bool log_unavailable = code == ErrorCode::kLogUnavailable && call.open_attempts == 0;
  if (final_answer || log_unavailable) {
    finish(id, *failure);  // Invalidates `call`.
    return;
  }
  call.next_send = std::min(call.next_send, now + knobs_.call_retry_period);
}

void ShardClient::tick(TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  std::vector<std::uint64_t> expired;
  for (auto& [id, call] : calls_) {
    if (now >= call.deadline) {
      expired.push_back(id);
    } else if (now >= call.next_send) {
      send(id, call, now, effects);
    }
  }
  for (const std::uint64_t id : expired) {
    const auto& call = calls_.at(id);
    const bool known_not_run =
        call.open_attempts == 0 || !policy_switches().report_unknown_execution;
    const Execution execution = known_not_run ? Execution::kNotRun : Execution::kUnknown;
    const int unreachable = static_cast<int>(ErrorCode::kPeerUnreachable);
    const int code = call.last_code == 0 ? unreachable : call.last_code;
    finish(id, CallFailure{code, static_cast<std::uint8_t>(execution)});
  }
}

void ShardClient::finish(std::uint64_t id, ShardAnswer answer) {
  calls_.erase(id);
  std::erase_if(attempts_, [id](const auto& attempt) { return attempt.second == id; });
  finished_.push_back({id, std::move(answer)});
}

std::vector<FinishedCall> ShardClient::take_finished() {
  const std::scoped_lock lock(mutex_);
  return std::exchange(finished_, {});
}

std::size_t ShardClient::open_calls() const {
  const std::scoped_lock lock(mutex_);
  return calls_.size();
}

}  // namespace stoathold
