/// @file
/// Measures the time between the events of one answer.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace stoathold {

/// Takes the mean over some events, since runners send some together. Used on one thread.
class EventGapWindow {
 public:
  /// @param events of one mean.
  explicit EventGapWindow(std::uint64_t events) : events_(events) {}

  /// Events have come.
  /// @param last number of the last one.
  /// @return the mean time from one to the next, each time that a window is full.
  std::optional<Duration> advance(std::uint64_t last, TimePoint now) {
    const bool first = since_ == TimePoint{};
    const std::uint64_t passed = last - first_event_;
    if (!first && passed < events_) return std::nullopt;
    const Duration span = now - since_;
    first_event_ = last;
    since_ = now;
    if (first) return std::nullopt;
    return span / static_cast<Duration::rep>(passed);
  }

 private:
  std::uint64_t events_;
  std::uint64_t first_event_ = 0;
  TimePoint since_{};  ///< When that came; the clock's start: none has come.
};

}  // namespace stoathold
