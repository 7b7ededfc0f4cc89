/// @file
/// Client of the job shards: finds a shard's owner, retries with back-off and, when a call times
/// out, reports whether it may have run.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/ranked_mutex.h"
#include "core/effects.h"
#include "core/knobs.h"
#include "core/membership.h"

namespace stoathold {

/// A call and its final answer.
struct FinishedCall {
  std::uint64_t call = 0;
  ShardAnswer answer;
};

/// Tracks the shard calls that this node makes. All shard calls are idempotent, since a job's id is
/// derived from its key and a claim carries its claimant. Thread safe (`LockRank::kShardCalls`).
class ShardClient {
 public:
  ShardClient(std::uint64_t seed, const Knobs& knobs, const Membership& membership);

  /// Starts a call; `take_finished` returns its answer.
  /// @param timeout time after which the call fails.
  /// @return the id of the call.
  std::uint64_t start(ShardId shard, ShardRequest request, Duration timeout, TimePoint now,
                      Effects& effects);
  /// Handles the reply to one attempt of a call.
  void on_reply(const ShardReply& reply, TimePoint now);
  /// Sends the retries that are due and fails the calls that timed out.
  void tick(TimePoint now, Effects& effects);
  /// Returns and clears the calls that finished since the previous call.
  std::vector<FinishedCall> take_finished();
  [[nodiscard]] std::size_t open_calls() const;

 private:
  struct OpenCall {
    ShardId shard{};
    ShardRequest request;
    TimePoint deadline;
    TimePoint next_send;
    Duration backoff{0};
    std::uint32_t open_attempts = 0;  ///< Attempts sent that may have run.
    int last_code = 0;
  };

  void send(std::uint64_t id, OpenCall& call, TimePoint now, Effects& effects);
  void finish(std::uint64_t id, ShardAnswer answer);

  const Knobs& knobs_;
  const Membership& membership_;
  mutable RankedMutex mutex_{LockRank::kShardCalls};
  Random random_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, OpenCall> calls_;
  std::unordered_map<std::uint64_t, std::uint64_t> attempts_;  ///< Attempt -> call.
  std::vector<FinishedCall> finished_;
};

/// Maps a job id or a claim key to its shard.
ShardId shard_of(std::uint64_t key, const Knobs& knobs);

}  // namespace stoathold
