/// @file
/// Registry of buffers whose memory can be reclaimed from stalled clients. No input or output; the
/// current time is a parameter.
#pragma once

#include <cstdint>
#include <set>

#include "base/time.h"

namespace stoathold {

/// A buffer that keeps its memory until its client sends or reads more.
class ReclaimableBuffer {
 public:
  virtual ~ReclaimableBuffer() = default;
  [[nodiscard]] virtual std::uint64_t reserved_bytes() const = 0;
  /// Time at which the client last made progress, or at which the buffer began to hold bytes.
  [[nodiscard]] virtual TimePoint last_progress() const = 0;
  /// Ends the transfer, releases the memory and unregisters the buffer.
  virtual void reclaim() = 0;
};

/// A buffer may be reclaimed once its client has made no progress for this long. A lost packet is
/// retransmitted after 200 ms and, if lost again, another 400 ms later; a client that waits for the
/// next event times out after two seconds. With 2 s here and 2,000 clients that read one byte per
/// second, responses that had no memory to be read ahead occupied so many runner slots that a
/// quarter of the other requests were refused.
inline constexpr Duration kStallThreshold = std::chrono::seconds(1);

/// The reclaimable buffers of one server; does not own them. Not thread safe.
class ReclaimableBufferRegistry {
 public:
  void add(ReclaimableBuffer& buffer) { buffers_.insert(&buffer); }
  void remove(ReclaimableBuffer& buffer) { buffers_.erase(&buffer); }
  [[nodiscard]] std::size_t size() const { return buffers_.size(); }

  /// Returns, of the buffers without progress for `kStallThreshold`, the one with the greatest
  /// product of reserved bytes and time without progress; null if there is none.
  [[nodiscard]] ReclaimableBuffer* slowest(TimePoint now) const;
  /// Reclaims the buffer that `slowest` returns. @return false if there is none.
  bool reclaim_slowest(TimePoint now);

 private:
  std::set<ReclaimableBuffer*> buffers_;
};

}  // namespace stoathold
