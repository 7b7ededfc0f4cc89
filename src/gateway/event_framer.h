/// @file
/// Splits the bytes of an event stream (`text/event-stream`) into events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/memory_budget.h"

namespace stoathold {

/// A complete event.
struct StreamEvent {
  std::string_view raw;             ///< Its bytes, including the blank line that ends it.
  std::optional<std::uint64_t> id;  ///< Its `id` field, if it is a number.
};

/// Returns the event's `data` fields, joined by line feeds.
std::string event_data(std::string_view raw);

/// Buffers a stream until events are complete. Long events take part of the memory budget, since a
/// runner in trouble may send bytes without end. Not thread-safe.
class EventFramer {
 public:
  /// Maximum size of a buffered event, in bytes.
  static constexpr std::size_t kMaxEventBytes = 4UL * 1024 * 1024;

  EventFramer() = default;
  /// @param budget must outlive the framer.
  explicit EventFramer(MemoryBudget& budget) : budget_(&budget) {}

  /// Appends bytes of the stream and invalidates the views of earlier events.
  /// @return false if the buffered event exceeds `kMaxEventBytes` or the memory budget.
  bool feed(std::string_view bytes);
  /// Returns the next complete event, if any; its view is valid until the next `feed`.
  std::optional<StreamEvent> next();
  /// Returns the bytes after the last complete event.
  [[nodiscard]] std::string_view remainder() const;

 private:
  /// Reserves memory for a long event. @return false if there is none.
  bool reserve();

  MemoryBudget* budget_ = nullptr;
  MemoryReservation reservation_;  ///< Of buffers longer than usual events.
  std::string buffer_;
  std::size_t position_ = 0;
  std::size_t line_start_ = 0;  ///< Start of the first line that has not been read.
};

}  // namespace stoathold
