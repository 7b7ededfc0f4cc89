/// @file
/// Who holds bytes of a process until a caller goes on, and who of them is ended when room is
/// short. Pure: no sockets, the clock is passed in.
#pragma once

#include <cstdint>
#include <set>

#include "base/time.h"

namespace stoathold {

/// Something that holds bytes until its caller sends or takes more.
class ByteHolder {
 public:
  virtual ~ByteHolder() = default;
  [[nodiscard]] virtual std::uint64_t held_bytes() const = 0;
  /// When the caller last went on, or when the bytes began to be held.
  [[nodiscard]] virtual TimePoint last_progress() const = 0;
  /// Gives the bytes back and leaves the table.
  virtual void cut_off() = 0;
};

/// A caller without progress for so long may be cut off while others need the room. A lost packet
/// is repeated after 200 ms, and once more after 400; a caller that waits for the next event gives
/// up after two seconds. With 2 s here, relays that had no room to read on kept so many places at
/// runners that one in four of the other requests was refused, of 2,000 callers at a byte a second.
inline constexpr Duration kStallTime = std::chrono::seconds(1);

/// The holders of one server. Does not own them. Used on one thread.
class ByteHolders {
 public:
  void add(ByteHolder& holder) { holders_.insert(&holder); }
  void remove(ByteHolder& holder) { holders_.erase(&holder); }
  [[nodiscard]] std::size_t size() const { return holders_.size(); }

  /// Returns the holder with the greatest product of bytes and time without progress, of those
  /// without progress for `kStallTime`; null if there is none.
  [[nodiscard]] ByteHolder* slowest(TimePoint now) const;
  /// Ends that one. @return false if there is none.
  bool cut_off_slowest(TimePoint now);

 private:
  std::set<ByteHolder*> holders_;
};

}  // namespace stoathold
