/// @file
/// The newest records of a partition, kept to serve them to other nodes.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/timer.h"
#include "store/partition_replica.h"

namespace stoathold {

/// Keeps the newest record of each key of a partition, by offset, and passes all records on to the
/// sink that uses them. Keys that were deleted keep their deletion for a while, so that a reader
/// behind it learns of it. Memory: the size of the newest records and some 150 bytes for each. Not
/// thread-safe. The sink must outlive it.
class TopicCache final : public RecordSink {
 public:
  TopicCache(boost::asio::any_io_executor executor, RecordSink& sink);

  void apply(const StoredRecord& record) override;
  void reset(const std::vector<StoredRecord>& newest, RecordOffset end) override;
  void on_deletions_skipped(RecordOffset end) override;
  void on_caught_up() override;

  /// Returns whether a reader that has applied all records before `from` misses none if it
  /// continues with `read`. A reader that has applied none can always begin.
  [[nodiscard]] bool covers(RecordOffset from) const;
  /// Returns the offset from which on no deletion is missing.
  [[nodiscard]] RecordOffset deletions_from() const {
    return std::max(complete_from_, skipped_to_);
  }
  /// Returns records from offset `from` on, without superseded ones, in offset order.
  /// @param max_bytes maximum size of keys and values; at least one record is returned if there is
  ///   one.
  [[nodiscard]] std::vector<StoredRecord> read(RecordOffset from, std::uint64_t max_bytes) const;
  /// Returns whether `read` from this offset would return a record.
  [[nodiscard]] bool has_records_from(RecordOffset from) const {
    return by_offset_.lower_bound(from) != by_offset_.end();
  }
  /// Waits for the next change, at most for `limit`.
  boost::asio::awaitable<void> wait_for_change(Duration limit);
  [[nodiscard]] std::size_t size() const { return by_offset_.size(); }

 private:
  void store(const StoredRecord& record);
  void drop_old_deletions();
  void notify();

  boost::asio::any_io_executor executor_;
  RecordSink& sink_;
  std::map<RecordOffset, StoredRecord> by_offset_;
  std::unordered_map<std::string, RecordOffset> offset_of_key_;
  std::deque<RecordOffset> deletions_;  ///< Offsets of deletions, oldest first.
  RecordOffset end_ = 0;                ///< Offset up to which records are known.
  RecordOffset complete_from_ = 0;      ///< No deletion from here on was dropped.
  /// Deletions between these offsets may be missing, since the newest records were read instead of
  /// all, by this node or by one that it reads through. Readers outside are not affected: they do
  /// not know the keys that were deleted.
  RecordOffset skipped_from_ = 0;
  RecordOffset skipped_to_ = 0;
  std::list<Timer> waiting_;
};

}  // namespace stoathold
