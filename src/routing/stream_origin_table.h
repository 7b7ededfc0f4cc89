/// @file
/// Bounded table of the origins of streams.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "base/time.h"
#include "routing/stream_origin.h"

namespace stoathold {

/// The origins of streams that may still be resumed. When it is full, the entry that was recorded
/// first is evicted. Not thread-safe.
class StreamOriginTable {
 public:
  struct Entry {
    StreamOrigin origin;
    bool conflicting = false;  ///< Different origins were recorded; none of them can be trusted.
    TimePoint expires{};
  };

  explicit StreamOriginTable(std::size_t capacity) : capacity_(capacity) {}

  /// Records the origin of a stream, which is kept until the latest of its expiry times.
  void record(StreamKey stream, const Entry& entry, TimePoint now);
  /// Returns the entry of a stream, or null. Valid until the table changes.
  [[nodiscard]] const Entry* find(StreamKey stream, TimePoint now) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  /// Returns the number of entries that were evicted before they expired.
  [[nodiscard]] std::uint64_t evicted() const { return evicted_; }

 private:
  struct StreamKeyHash {
    std::size_t operator()(StreamKey key) const { return value_of(key); }
  };

  void drop_expired(TimePoint now);
  void evict_oldest();

  std::size_t capacity_;
  std::unordered_map<StreamKey, Entry, StreamKeyHash> entries_;
  std::deque<StreamKey> order_;  ///< Each entry once, oldest record first.
  std::uint64_t evicted_ = 0;
};

}  // namespace stoathold
