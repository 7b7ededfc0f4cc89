/// @file
/// Cuts the bytes of an event stream (`text/event-stream`) into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stoathold {

/// One whole event.
struct StreamEvent {
  std::string_view raw;             ///< Its bytes, with the blank line that ends it.
  std::optional<std::uint64_t> id;  ///< Its `id` field, if it is a number.
};

/// Returns the event's `data` fields, joined by line feeds.
std::string event_data(std::string_view raw);

/// Buffers a stream until events are whole. Not thread safe.
class EventFramer {
 public:
  /// Largest event that is buffered, in bytes.
  static constexpr std::size_t kMaxEventBytes = 4UL * 1024 * 1024;

  /// Adds bytes; views of earlier events become invalid.
  /// @return false if an event grows beyond `kMaxEventBytes`.
  bool feed(std::string_view bytes);
  /// Returns the next whole event; its view is valid until the next `feed`.
  std::optional<StreamEvent> next();
  /// Bytes behind the last whole event.
  [[nodiscard]] std::string_view rest() const;

 private:
  std::string buffer_;
  std::size_t position_ = 0;
};

}  // namespace stoathold
