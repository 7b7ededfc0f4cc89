/// @file
/// Counts that must not be mixed: an event of a stream holds several tokens.
#pragma once

#include <compare>
#include <cstdint>

namespace stoathold {

/// Tokens of a prompt or of an answer.
struct TokenCount {
  std::uint64_t value = 0;

  auto operator<=>(const TokenCount&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Events of a stream.
struct EventCount {
  std::uint64_t value = 0;

  auto operator<=>(const EventCount&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// How many tokens an event holds in the mean; the only way from tokens to events.
struct TokensPerEvent {
  double value = 0;  ///< 0: unknown.

  [[nodiscard]] bool known() const { return value > 0; }
  /// Returns the events, with a fraction, that so many tokens make.
  [[nodiscard]] double events_of(TokenCount tokens) const {
    return static_cast<double>(tokens.value) / value;
  }
};

}  // namespace stoathold
