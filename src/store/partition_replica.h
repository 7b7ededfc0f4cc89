/// @file
/// Replication of one log partition into a local state.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "base/time.h"
#include "store/adaptive_read_limits.h"
#include "store/coalesced_read.h"
#include "store/record_log.h"
#include "store/resumable_newest_read.h"

namespace stoathold {

/// Applies a partition's records to a state. Records arrive in offset order, each once.
class RecordSink {
 public:
  virtual ~RecordSink() = default;
  /// Applies one record.
  virtual void apply(const StoredRecord& record) = 0;
  /// Replaces the state when the history before `newest` is not available. `newest` holds the
  /// newest record of each key in ascending offset order; absent keys were deleted. It may include
  /// records that were already applied.
  /// @param end offset of the next record to be applied. The last ones before it may be deletions,
  ///        which `newest` omits.
  virtual void reset(const std::vector<StoredRecord>& newest, RecordOffset end) = 0;
  /// Called before records are applied from which deletions before `end` may be missing: of keys
  /// that the state does not hold.
  virtual void on_deletions_skipped(RecordOffset /*end*/) {}
  /// Called when all records that the partition held at the time of a read are applied. Before the
  /// first call the state is stale: some of its records may have been replaced or deleted before
  /// the replica started reading.
  virtual void on_caught_up() {}
};

/// Selects the records that a sink receives.
enum class ReplicaScope : std::uint8_t {
  kHistory,  ///< Every record that the log retains, in order.
  kNewest,   ///< The newest record of each key; superseded records may be skipped.
};

/// Status of a replica's reads, for readiness, logs and metrics.
struct ReplicaHealth {
  bool loaded = false;  ///< Whether the partition was read to its end at least once.
  LogStatus last = LogStatus::kOk;
  TimePoint last_success{};  ///< Send time of the latest successful read.
  TimePoint confirmed{};     ///< Send time of the latest read that reached the end.
  RecordOffset end = 0;      ///< Last known end of the partition.
};

/// Reads one partition and applies its records to a sink. Reads may overlap: each applies only
/// records that were not applied yet.
///
/// Must be owned by a `std::shared_ptr`, since reads in flight keep it alive. Used on one thread.
class PartitionReplica : public std::enable_shared_from_this<PartitionReplica> {
 public:
  /// @param log and `sink` outlive the replica and all reads in flight.
  PartitionReplica(RecordReader& log, PartitionName partition, RecordSink& sink,
                   ReplicaScope scope = ReplicaScope::kHistory);

  /// Reads to the partition's end: on success the state includes every record whose append was
  /// acknowledged before this call.
  boost::asio::awaitable<LogStatus> catch_up();
  /// Reads once, waiting up to `wait` for a record that is not applied yet.
  boost::asio::awaitable<LogStatus> wait_for_records(Duration wait);
  /// Applies records that this process appended, unless unread records precede them.
  void apply_appended(RecordOffset offset, const std::vector<KeyedRecord>& records);
  /// Reads continuously while `running` returns true.
  /// @param read_pause pause after a read that returned records. Without it, each record of
  ///        a busy partition would cost one call from every node that follows it.
  /// @param wait how long a read waits for a record. It also bounds the delay that an unresponsive
  ///        connection causes, since the read times out shortly after it.
  boost::asio::awaitable<void> follow(std::function<bool()> running,
                                      Duration read_pause = Duration{0},
                                      Duration wait = std::chrono::milliseconds(2000));

  /// Sets the reader that `follow` uses, which must outlive the replica and all reads in flight. It
  /// may return records later than the log of the constructor, which `catch_up` reads.
  void set_follow_reader(RecordReader& log) { follow_reader_ = &log; }
  /// Sets a listener that is called when the partition is first read to its end.
  void set_loaded_listener(std::function<void()> listener) {
    loaded_listener_ = std::move(listener);
  }

  /// Returns the partition that is replicated.
  [[nodiscard]] const PartitionName& name() const { return partition_; }
  /// Returns the offset of the first record that is not applied yet; after catching up, this is the
  /// last known end of the partition.
  [[nodiscard]] RecordOffset next_offset() const { return next_offset_; }
  /// Returns the status of the replica's reads.
  [[nodiscard]] const ReplicaHealth& health() const { return health_; }

 private:
  boost::asio::awaitable<LogStatus> read_once(RecordReader& log, Duration wait, bool& at_end);
  boost::asio::awaitable<LogStatus> read_to_end();
  /// Reads from the first record that is not applied yet.
  /// @param confirmed set to when the log confirmed the partition's end.
  boost::asio::awaitable<LogStatus> read_next(RecordReader& log, Duration wait, bool& at_end,
                                              TimePoint& confirmed);
  boost::asio::awaitable<LogStatus> load_newest(RecordReader& log);
  void adapt_read_limits(const ReadResult& result, Duration duration);
  void apply_new(const std::vector<StoredRecord>& records);

  RecordReader& log_;
  RecordReader* follow_reader_;
  PartitionName partition_;
  RecordSink& sink_;
  ReplicaScope scope_;
  /// Whether the next read fetches the newest records instead of those from `next_offset_` on.
  bool skip_to_newest_;
  RecordOffset next_offset_ = 0;
  ReplicaHealth health_;
  ResumableNewestRead newest_;
  CoalescedRead catch_up_read_;
  AdaptiveReadLimits read_limits_ = AdaptiveReadLimits::for_full_read();  ///< For the next read.
  std::function<void()> loaded_listener_;
};

}  // namespace stoathold
