/// @file
/// Limits the number of log lines per event and second.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>

#include "base/event_log.h"
#include "base/time.h"

namespace stoathold {

/// Decision about a log line.
struct LineAdmission {
  bool admitted = false;
  /// Number of the event's lines that were dropped in the previous window; reported once.
  std::uint32_t dropped_before = 0;
};

/// Counts the lines of each event in windows of one second. Thread safe; no other mutex is locked
/// while its own is held.
class EventRateLimiter {
 public:
  LineAdmission admit(Event event, TimePoint now);

 private:
  struct Window {
    TimePoint start{};
    std::uint32_t written = 0;
    std::uint32_t dropped = 0;
  };

  std::mutex mutex_;
  std::map<Event, Window> windows_;
};

}  // namespace stoathold
