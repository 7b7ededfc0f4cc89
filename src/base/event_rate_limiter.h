/// @file
/// Bounds how many lines of each event a log may take in a second.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>

#include "base/event_log.h"
#include "base/time.h"

namespace stoathold {

/// What becomes of a line.
struct LineAdmission {
  bool admitted = false;
  /// Lines of the event that were left out in the second that has just ended; told once.
  std::uint32_t left_out_before = 0;
};

/// Counts lines in windows of a second, one for each event. Thread safe; nothing else is locked
/// while its mutex is held.
class EventRateLimiter {
 public:
  LineAdmission admit(Event event, TimePoint now);

 private:
  struct Window {
    TimePoint start{};
    std::uint32_t written = 0;
    std::uint32_t left_out = 0;
  };

  std::mutex mutex_;
  std::map<Event, Window> windows_;
};

}  // namespace stoathold
