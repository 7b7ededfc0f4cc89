/// @file
/// The simulation's clock and event queue. Events run in order of time; events of the same time run
/// in the order of their creation.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/time.h"

namespace stoathold::fuzz {

/// Discrete event queue. Not thread safe.
class EventQueue {
 public:
  using Action = std::function<void()>;

  [[nodiscard]] TimePoint now() const { return now_; }

  /// Schedules an action to run `delay` from now.
  void after(Duration delay, Action action) {
    queue_.push({now_ + delay, ++last_sequence_, std::move(action)});
  }

  /// Runs all events up to and including `end`, then sets the clock to `end`.
  void run_until(TimePoint end) {
    while (!queue_.empty() && queue_.top().time <= end) {
      Action action = std::move(const_cast<Entry&>(queue_.top()).action);
      now_ = queue_.top().time;
      queue_.pop();
      action();
    }
    now_ = end;
  }

 private:
  struct Entry {
    TimePoint time;
    std::uint64_t sequence = 0;
    Action action;
    bool operator<(const Entry& other) const {
      if (time != other.time) return time > other.time;
      return sequence > other.sequence;
    }
  };

  TimePoint now_{std::chrono::seconds(1)};
  std::uint64_t last_sequence_ = 0;
  std::priority_queue<Entry> queue_;
};

}  // namespace stoathold::fuzz
