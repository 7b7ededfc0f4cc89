/// @file
/// Distinct types for token and event counts: one event of a stream may hold several tokens.
#pragma once

#include <compare>
#include <cstdint>

namespace stoathold {

/// Number of tokens of a prompt or of a response.
struct TokenCount {
  std::uint64_t value = 0;

  auto operator<=>(const TokenCount&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Number of events of a stream.
struct EventCount {
  std::uint64_t value = 0;

  auto operator<=>(const EventCount&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Average number of tokens per event; the only conversion from tokens to events.
struct TokensPerEvent {
  double value = 0;  ///< 0: unknown.

  [[nodiscard]] bool known() const { return value > 0; }
  /// Returns the number of events, with a fraction, for a number of tokens.
  [[nodiscard]] double events_of(TokenCount tokens) const {
    return static_cast<double>(tokens.value) / value;
  }
};

}  // namespace stoathold
