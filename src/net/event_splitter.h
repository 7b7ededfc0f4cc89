/// @file
/// Splits a byte stream into server-sent events and checks their token numbers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace stoathold {

/// Result of feeding bytes to an `EventSplitter`.
enum class SplitStatus : std::uint8_t {
  kOk,
  kGap,        ///< A token number was skipped; nothing more of the stream may be delivered.
  kMalformed,  ///< An event without a token number, or one that is too long.
};

/// Extracts complete events from a byte stream and drops those whose tokens were already delivered.
/// Costs one scan and one copy of the bytes. Not thread safe.
class EventSplitter {
 public:
  /// @param delivered number of tokens that the client already has.
  explicit EventSplitter(std::uint32_t delivered) : last_token_(delivered) {}

  /// Consumes bytes; `events()` then returns the new complete events, valid until the next call.
  SplitStatus feed(std::string_view bytes);
  [[nodiscard]] std::string_view events() const { return events_; }
  /// Number of the last delivered token.
  [[nodiscard]] std::uint32_t last_token() const { return last_token_; }
  /// Whether the end-of-stream event was received.
  [[nodiscard]] bool finished() const { return finished_; }

 private:
  SplitStatus process_event(std::string_view event);

  std::string partial_;
  std::string output_;
  std::string_view events_;
  std::uint32_t last_token_;
  bool finished_ = false;
};

/// The event that marks the end of a stream.
inline constexpr std::string_view kEndEvent = "data: [DONE]\n\n";

}  // namespace stoathold
