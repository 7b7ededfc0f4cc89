/// @file
/// Splits the bytes of an event stream (`text/event-stream`) into events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stoathold {

/// A complete event.
struct StreamEvent {
  std::string_view raw;             ///< Its bytes, including the blank line that ends it.
  std::optional<std::uint64_t> id;  ///< Its `id` field, if it is a number.
};

/// Returns the event's `data` fields, joined by line feeds.
std::string event_data(std::string_view raw);

/// Buffers a stream until events are complete. Not thread-safe.
class EventFramer {
 public:
  /// Maximum size of a buffered event, in bytes.
  static constexpr std::size_t kMaxEventBytes = 4UL * 1024 * 1024;

  /// Appends bytes of the stream and invalidates the views of earlier events.
  /// @return false if the buffered event exceeds `kMaxEventBytes`.
  bool feed(std::string_view bytes);
  /// Returns the next complete event, if any; its view is valid until the next `feed`.
  std::optional<StreamEvent> next();
  /// Returns the bytes after the last complete event.
  [[nodiscard]] std::string_view remainder() const;

 private:
  std::string buffer_;
  std::size_t position_ = 0;
};

}  // namespace stoathold
