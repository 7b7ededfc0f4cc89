/// @file
/// A node's replica of one job shard: reads the shard's log stream, manages its lease and appends
/// to the stream while this node owns the shard.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/effects.h"
#include "core/knobs.h"
#include "core/log_records.h"
#include "core/shard_state.h"

namespace stoathold {

/// Outcome of an operation passed to `ShardReplica::append`.
struct ResolvedOperation {
  std::uint64_t operation = 0;
  bool applied = false;  ///< False: its entry was fenced and has no effect.
};

/// A node's view of the current lease holder and of the designated owner, the member that
/// rendezvous hashing selects; an input of `ShardReplica::tick`.
struct LeaseView {
  bool self_is_designated = false;  ///< Rendezvous hashing selects this node.
  bool holder_alive = false;        ///< The lease holder recorded in the log is a live member.
  bool designated_alive = false;    ///< The designated owner is another node and can take over.
  bool draining = false;            ///< Planned shutdown: release the lease unconditionally.
};

/// Replicates the state of one shard from its log stream.
///
/// Life cycle: idle -> loading the snapshot -> following. A following replica on the designated
/// owner claims the lease if the lease is free, or if the holder has not written to the log for
/// long enough (see `may_claim`). While the replicated state lists this incarnation as the holder,
/// `owns()` is true and operations may be appended. At most one append is outstanding; it is resent
/// until its entry is applied or fenced. An operation takes effect only when its entry is applied
/// to the state in log order; a successful response to the append is not enough.
///
/// Not thread safe; guarded by `LockRank::kJobShards`.
class ShardReplica {
 public:
  ShardReplica(ShardId shard, LeaseHolder self, const Knobs& knobs);

  /// Advances the state machine: polls the stream, claims, renews or releases the lease, retries
  /// calls that timed out and writes snapshots.
  void tick(const LeaseView& view, TimePoint now, Effects& effects);
  /// Handles the log's response to the append sent with `token`.
  void on_appended(std::uint64_t token, LogStatus status, Offset offset, TimePoint now,
                   Effects& effects);
  /// Handles the log's response to the read sent with `token`. `head` is the next offset of the
  /// stream.
  void on_read(std::uint64_t token, LogStatus status, const std::vector<LogEntry>& entries,
               Offset head, TimePoint now, Effects& effects);
  /// Handles the response to a head request on the snapshot stream.
  void on_head(std::uint64_t token, LogStatus status, Offset head, Effects& effects);

  /// Queues records; `operation` (nonzero) resolves once the last of them is applied.
  void append(std::vector<ShardRecord> records, std::uint64_t operation);
  /// Sends queued records, unless an append is outstanding.
  void flush(TimePoint now, Effects& effects);
  /// Requests a read barrier: a read to the stream's tail that starts after this call.
  /// @return a ticket to pass to `barrier_passed`.
  std::uint64_t request_barrier(TimePoint now, Effects& effects);
  /// Returns whether a read that started after the ticket was issued has reached the tail.
  [[nodiscard]] bool barrier_passed(std::uint64_t ticket) const {
    return last_tail_read_ >= ticket;
  }

  /// Returns and clears the operations resolved since the previous call.
  std::vector<ResolvedOperation> take_resolved();
  /// Returns whether the state changed since the previous call, and resets the flag.
  bool take_changed();

  /// Returns whether this incarnation holds the lease and is not releasing it.
  [[nodiscard]] bool owns() const;
  [[nodiscard]] bool following() const { return phase_ == Phase::kFollowing; }
  /// Returns whether the outstanding append has gone unconfirmed for `Knobs::log_down_timeout`.
  [[nodiscard]] bool log_down(TimePoint now) const;
  [[nodiscard]] std::size_t queued_records() const {
    return queue_.size() + pending_append_records_;
  }
  [[nodiscard]] const ShardState& state() const { return state_; }
  [[nodiscard]] ShardId shard() const { return shard_; }
  /// Entries applied after the snapshot the last time this replica caught up from idle.
  [[nodiscard]] std::uint64_t replayed_entries() const { return replayed_entries_; }
  [[nodiscard]] std::uint64_t replayed_bytes() const { return replayed_bytes_; }

 private:
  enum class Phase : std::uint8_t { kIdle, kSnapshotHead, kSnapshotBody, kFollowing };

  struct QueuedRecord {
    ShardRecord record;
    std::uint64_t operation = 0;
  };
  struct PendingAppend {
    std::uint64_t sequence = 0;
    std::string bytes;
    ShardEntry entry;
    std::vector<std::uint64_t> operations;
    TimePoint sent_at;
    TimePoint first_sent_at;
    std::uint64_t token = 0;
    bool awaiting_answer = false;
  };

  void start_following(TimePoint now, Effects& effects);
  void stop_following();
  void send_read(TimePoint now, Effects& effects);
  void send_pending_append(TimePoint now, Effects& effects);
  void start_append(std::vector<ShardRecord> records, std::vector<std::uint64_t> operations,
                    Epoch epoch, TimePoint now, Effects& effects);
  void apply_entry(const LogEntry& entry, TimePoint now);
  void apply_decoded(Offset offset, const ShardEntry& entry, TimePoint now);
  void resolve_pending_append(ShardApplyResult result);
  void discard_if_fenced();
  void claim_lease_if_allowed(const LeaseView& view, TimePoint now, Effects& effects);
  void maintain_lease(const LeaseView& view, TimePoint now, Effects& effects);
  void write_snapshot_if_due(Effects& effects);
  /// Returns whether the lease is free, was held by an earlier incarnation of this node, or has a
  /// holder whose last log entry is old enough; a live holder is granted a longer silence.
  [[nodiscard]] bool may_claim(const LeaseView& view) const;
  std::uint64_t new_token() { return ++last_token_; }

  const ShardId shard_;
  const LeaseHolder self_;
  const Knobs& knobs_;
  const std::string stream_;
  const std::string snapshot_stream_;

  Phase phase_ = Phase::kIdle;
  ShardState state_;
  std::optional<PendingAppend> pending_append_;
  std::deque<QueuedRecord> queue_;
  std::size_t pending_append_records_ = 0;
  std::vector<ResolvedOperation> resolved_;
  bool changed_ = false;
  bool releasing_ = false;
  bool caught_up_ = false;

  std::uint64_t last_sequence_ = 0;
  std::uint64_t last_token_ = 0;
  std::uint64_t read_token_ = 0;  ///< 0: no read outstanding.
  bool reread_requested_ = false;
  std::uint64_t started_reads_ = 0;
  std::uint64_t last_tail_read_ = 0;
  TimePoint read_sent_at_;
  TimePoint next_poll_;
  TimePoint last_change_;
  TimePoint last_successful_read_;
  std::optional<TimePoint> designated_since_;
  TimePoint last_append_;
  std::uint64_t entries_since_snapshot_ = 0;
  std::uint64_t replayed_entries_ = 0;
  std::uint64_t replayed_bytes_ = 0;
};

}  // namespace stoathold
