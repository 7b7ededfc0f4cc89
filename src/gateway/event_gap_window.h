/// @file
/// Measures the time between the events of one response.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace stoathold {

/// Averages the event gap over windows of several events, since runners send events in batches. Not
/// thread-safe.
class EventGapWindow {
 public:
  /// @param events_per_window number of events to average over.
  explicit EventGapWindow(std::uint64_t events_per_window)
      : events_per_window_(events_per_window) {}

  /// Records the arrival of events.
  /// @param last_event number of the last event that has arrived.
  /// @return the mean time between events if this completes a window.
  std::optional<Duration> advance(std::uint64_t last_event, TimePoint now) {
    const bool first = window_start_ == TimePoint{};
    const std::uint64_t event_count = last_event - first_event_;
    if (!first && event_count < events_per_window_) return std::nullopt;
    const Duration span = now - window_start_;
    first_event_ = last_event;
    window_start_ = now;
    if (first) return std::nullopt;
    return span / static_cast<Duration::rep>(event_count);
  }

 private:
  std::uint64_t events_per_window_;
  std::uint64_t first_event_ = 0;
  TimePoint window_start_{};  ///< Arrival of `first_event_`; zero before the first event.
};

}  // namespace stoathold
