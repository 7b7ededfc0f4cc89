/// @file
/// A local copy of one partition of the log, kept by whoever applies its records.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "base/time.h"
#include "store/newest_read.h"
#include "store/read_bounds.h"
#include "store/record_log.h"
#include "store/shared_read.h"

namespace stoathold {

/// Applies a partition's records to a state. Called in the order of offsets, each record once.
class RecordSink {
 public:
  virtual ~RecordSink() = default;
  /// Applies one record.
  virtual void apply(const StoredRecord& record) = 0;
  /// The history up to `newest` is lost; these are the newest records of all keys, ascending by
  /// offset. Keys that are missing were deleted. Records applied before may be among them.
  virtual void reset(const std::vector<StoredRecord>& newest) = 0;
  /// All records that the partition held when a read was answered are applied. Until the first such
  /// call the state is one of the past: some of its records may have been replaced or deleted
  /// before the reading began.
  virtual void caught_up() {}
};

/// Which records a sink is to get.
enum class ReplicaScope : std::uint8_t {
  kHistory,  ///< Each record, in order, as far as the log has its history.
  kNewest,   ///< The newest record of each key; those that were replaced may be left out.
};

/// How the log has answered lately, for readiness, logs and metrics.
struct ReplicaHealth {
  bool loaded = false;  ///< The partition was read to its end at least once.
  LogStatus last = LogStatus::kOk;
  TimePoint last_success{};  ///< When the last successful read was sent.
  TimePoint confirmed{};     ///< When the last read that left nothing unread was sent.
  RecordOffset end = 0;      ///< Last known end of the partition.
};

/// Follows one partition. Reads may overlap: each applies only what is new.
///
/// Lives in a shared pointer, since a read in flight keeps it alive. Used on one thread.
class PartitionReplica : public std::enable_shared_from_this<PartitionReplica> {
 public:
  /// @param log and `sink` outlive the replica and all reads in flight.
  PartitionReplica(RecordLog& log, PartitionName partition, RecordSink& sink,
                   ReplicaScope scope = ReplicaScope::kHistory);

  /// Reads until the partition's end: afterwards the state holds every record whose append was
  /// acknowledged before this call.
  boost::asio::awaitable<LogStatus> catch_up();
  /// Reads once, waiting up to `wait` for a record behind those applied.
  boost::asio::awaitable<LogStatus> wait_for_records(Duration wait);
  /// Applies records that this process appended, if nothing unread lies before them.
  void apply_appended(RecordOffset offset, const std::vector<KeyedRecord>& records);
  /// Follows the partition for as long as `running` holds.
  /// @param pace time between two reads that bring records: each record of a busy partition would
  ///        else cost a call of every node that follows it.
  /// @param wait how long a read waits for a record. It bounds how long a connection that went
  /// silent
  ///        delays news: the read is given up shortly after it.
  boost::asio::awaitable<void> follow(std::function<bool()> running, Duration pace = Duration{0},
                                      Duration wait = std::chrono::milliseconds(2000));

  /// Called when the partition was read to its end for the first time.
  void set_loaded_listener(std::function<void()> listener) {
    loaded_listener_ = std::move(listener);
  }

  [[nodiscard]] const PartitionName& name() const { return partition_; }
  /// Offset of the first record not yet applied; the end of the partition as far as it is known.
  [[nodiscard]] RecordOffset next_offset() const { return next_offset_; }
  [[nodiscard]] const ReplicaHealth& health() const { return health_; }

 private:
  boost::asio::awaitable<LogStatus> read_once(Duration wait, bool& at_end);
  boost::asio::awaitable<LogStatus> read_to_end();
  /// Reads from the first record not applied on.
  boost::asio::awaitable<LogStatus> read_on(Duration wait, bool& at_end);
  boost::asio::awaitable<LogStatus> load_newest();
  void adapt_reads(const ReadResult& result, Duration took);
  void apply_new(const std::vector<StoredRecord>& records);

  RecordLog& log_;
  PartitionName partition_;
  RecordSink& sink_;
  ReplicaScope scope_;
  /// The next read is of the newest records, not of those behind `next_offset_`.
  bool skip_to_newest_;
  RecordOffset next_offset_ = 0;
  ReplicaHealth health_;
  NewestRead newest_;
  SharedRead catch_ups_;
  ReadBounds bounds_ = ReadBounds::of_list();  ///< Of the next read.
  std::function<void()> loaded_listener_;
};

}  // namespace stoathold
