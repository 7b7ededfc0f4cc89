/// @file
/// Rendezvous (highest random weight) hashing, which assigns shards and runners to members.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"

namespace stoathold {

/// Returns the member with the highest hash for `subject`, or nothing if there are no members.
/// Removing a member reassigns only the subjects that it owned.
inline std::optional<NodeId> rendezvous_owner(std::uint64_t subject,
                                              const std::vector<NodeId>& members) {
  std::optional<NodeId> best;
  std::uint64_t best_rank = 0;
  for (const NodeId member : members) {
    const std::uint64_t rank = mix_hashes(subject, value_of(member));
    if (best && rank <= best_rank) continue;
    best = member;
    best_rank = rank;
  }
  return best;
}

/// Returns the hash subject of a shard.
inline std::uint64_t shard_subject(ShardId shard) {
  constexpr std::uint64_t kShardSalt = 0x5368617264;
  return mix_hashes(kShardSalt, value_of(shard));
}

/// Returns the hash subject of a runner.
inline std::uint64_t runner_subject(RunnerId runner) {
  constexpr std::uint64_t kRunnerSalt = 0x52756e6e6572;
  return mix_hashes(kRunnerSalt, value_of(runner));
}

}  // namespace stoathold
