/// @file
/// Strong identifier types shared by all layers.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace stoathold {

/// Identifies a node process; a hash of its configured name.
enum class NodeId : std::uint64_t {};
/// Identifies one run of a node process. A restarted node has a larger incarnation.
enum class Incarnation : std::uint64_t {};
/// Identifies a model runner (a back end); a hash of its name in the machine list.
enum class RunnerId : std::uint64_t {};
/// Position of a record in one stream of the platform's log; the first record has offset 1.
enum class Offset : std::uint64_t {};
/// Fencing epoch of a shard lease: the offset of the claim that was granted; 0 means no holder.
enum class Epoch : std::uint64_t {};
/// Index of a job shard; each shard is one stream of the log.
enum class ShardId : std::uint32_t {};
/// Identifies a batch job; a hash of tenant and idempotency key, so that a resubmitted job has the
/// same id.
enum class JobId : std::uint64_t {};
/// Identifies a client request at the node that received it.
enum class RequestId : std::uint64_t {};
/// Identifies a stream that a node opened on an engine.
enum class StreamId : std::uint64_t {};

/// Returns the integer value of a strong identifier.
template <typename Identifier>
constexpr std::uint64_t value_of(Identifier identifier) {
  return static_cast<std::uint64_t>(identifier);
}

/// Returns the successor of `identifier`.
template <typename Identifier>
constexpr Identifier next_of(Identifier identifier) {
  return static_cast<Identifier>(value_of(identifier) + 1);
}

/// Hashes `text` with `seed` (XXH64); stable across processes and releases.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Combines two hashes; used to rank pairs in rendezvous hashing.
std::uint64_t mix_hashes(std::uint64_t left, std::uint64_t right);

/// Derives a node's id from its configured name.
NodeId node_id_from_name(std::string_view name);
/// Derives a runner's id from its name in the machine list.
RunnerId runner_id_from_name(std::string_view name);
/// Derives a job's id from the tenant and the client's idempotency key.
JobId job_id_from_key(std::string_view tenant, std::string_view key);

/// Formats an identifier as 16 hexadecimal digits.
std::string to_hex(std::uint64_t value);
/// Parses the output of `to_hex`; returns false if `text` is not 1 to 16 hexadecimal digits.
bool parse_hex(std::string_view text, std::uint64_t& value);

}  // namespace stoathold
