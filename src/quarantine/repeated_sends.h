/// @file
/// Queue of messages that are sent several times, because datagrams may be lost.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/time.h"

namespace stoathold {

/// Queue of the messages that a node sends to one group of nodes. Used on one thread.
template <typename Message>
class RepeatedSends {
 public:
  struct Entry {
    Message message;
    TimePoint at{};  ///< Time of the event that the message is about.
    int repeats_left = 0;
  };

  /// @param repeats how often each message is sent.
  /// @param max_batch maximum number of messages in one datagram.
  RepeatedSends(int repeats, std::size_t max_batch) : repeats_(repeats), max_batch_(max_batch) {}

  /// Adds a message about an event at `at`. It is dropped if too many are pending.
  void add(const Message& message, TimePoint at) {
    if (pending_.size() < kMaxPending) insert_by_repeats({message, at, repeats_});
  }

  /// Returns whether there is a message that has not been sent yet.
  [[nodiscard]] bool has_unsent() const {
    return !pending_.empty() && pending_.front().repeats_left == repeats_;
  }
  /// Returns the messages of the next datagram: those first that were sent least often.
  std::vector<Entry> next() {
    const std::size_t count = std::min(pending_.size(), max_batch_);
    const auto end = pending_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Entry> batch(pending_.begin(), end);
    pending_.erase(pending_.begin(), end);
    for (Entry& entry : batch) {
      if (--entry.repeats_left > 0) insert_by_repeats(entry);
    }
    return batch;
  }

 private:
  /// Bounds the memory of the queue.
  static constexpr std::size_t kMaxPending = 2048;

  /// Inserts a message behind those that were sent as often or less.
  void insert_by_repeats(const Entry& entry) {
    const auto position = std::find_if(pending_.begin(), pending_.end(), [&](const Entry& other) {
      return other.repeats_left < entry.repeats_left;
    });
    pending_.insert(position, entry);
  }

  int repeats_;
  std::size_t max_batch_;
  std::vector<Entry> pending_;  ///< Those first that were sent least often.
};

}  // namespace stoathold
