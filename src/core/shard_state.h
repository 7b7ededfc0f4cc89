/// @file
/// The state machine of one job shard: applies the records of its stream in log order.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "core/log_records.h"

namespace stoathold {

/// The node and incarnation that hold a shard's lease; node 0 if the lease is free.
struct LeaseHolder {
  NodeId node{};
  Incarnation incarnation{};

  bool operator==(const LeaseHolder&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation);
  }
};

/// The log entry that stores a contiguous run of a job's items.
struct ItemRun {
  std::uint32_t first_index = 0;
  std::uint32_t count = 0;
  Offset offset{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first_index, count, offset);
  }
};

/// An accepted job. Stores log offsets only; prompts and results stay in the log.
struct JobState {
  JobSpecification specification;
  std::uint32_t item_count = 0;
  std::uint32_t completed_count = 0;
  bool cancelled = false;
  std::vector<ItemRun> runs;           ///< Ascending by `first_index`; they cover all items.
  std::vector<Offset> result_offsets;  ///< Per item: offset of the entry with its result; 0: none.

  /// Returns whether the job is cancelled or all its items are completed.
  [[nodiscard]] bool finished() const { return cancelled || completed_count == item_count; }
  [[nodiscard]] bool item_completed(std::uint32_t index) const {
    return value_of(result_offsets[index]) != 0;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(specification, item_count, completed_count, cancelled, runs, result_offsets);
  }
};

/// Result of applying one entry.
enum class ShardApplyResult : std::uint8_t {
  kApplied,          ///< Its records took effect.
  kFenced,           ///< Its epoch is not current, or another lease claim came first.
  kDuplicateAppend,  ///< The same append is already present earlier in the log.
};

/// State of one shard after all entries up to `next_offset() - 1`.
///
/// A deterministic function of the stream: every reader computes the same state. Not thread safe;
/// the owner's lock
/// (`LockRank::kJobShards`) guards it.
class ShardState {
 public:
  /// Applies the entry at `offset`, which must be `next_offset()`.
  ShardApplyResult apply(Offset offset, const ShardEntry& entry);
  /// Skips an entry that cannot be decoded, so that one corrupt entry does not block the shard.
  void skip(Offset offset) { next_offset_ = next_of(offset); }

  [[nodiscard]] Offset next_offset() const { return next_offset_; }
  [[nodiscard]] Epoch epoch() const { return epoch_; }
  [[nodiscard]] const LeaseHolder& holder() const { return holder_; }
  [[nodiscard]] const std::map<JobId, JobState>& jobs() const { return jobs_; }
  /// Returns the job, or null if it is not an accepted job. Invalidated by `apply`.
  [[nodiscard]] const JobState* find_job(JobId job) const;
  /// Returns the claimant that holds `key`, if it is claimed. The first claim wins.
  [[nodiscard]] std::optional<std::uint64_t> claimant_of(std::uint64_t key) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(next_offset_, epoch_, holder_, last_sequence_, jobs_, claims_);
  }

 private:
  struct PendingSubmission {
    std::uint64_t attempt = 0;
    std::vector<ItemRun> runs;
  };

  ShardApplyResult apply_claim(Offset offset, const ShardEntry& entry, const LeaseClaimed& claim);
  void apply_record(Offset offset, const ItemsSubmitted& record);
  void apply_record(Offset offset, const JobCommitted& record);
  void apply_record(Offset offset, const JobCancelled& record);
  void apply_record(Offset offset, const ItemsCompleted& record);
  void apply_record(Offset offset, const RequestClaimed& record);
  void apply_record(Offset offset, const LeaseClaimed& record);
  void apply_record(Offset offset, const LeaseRenewed& record);
  void apply_record(Offset offset, const LeaseReleased& record);

  Offset next_offset_{1};
  Epoch epoch_{};
  LeaseHolder holder_;
  std::uint64_t last_sequence_ = 0;  ///< Of the holder's appends in the current epoch.
  std::map<JobId, JobState> jobs_;
  std::unordered_map<std::uint64_t, std::uint64_t> claims_;
  std::map<JobId, PendingSubmission> pending_;  ///< Current epoch only; not in snapshots.
};

/// Encodes a shard's state for its snapshot stream.
std::string encode_snapshot(const ShardState& state);
/// Decodes a snapshot; returns false on malformed bytes.
bool decode_snapshot(const std::string& bytes, ShardState& state);

}  // namespace stoathold
