/// @file
/// Why a queued request is rejected, and when its caller should retry.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace stoathold {

/// Why a request is rejected before its caller gives up.
enum class RejectionReason : std::uint8_t {
  kTooLate,     ///< Its first event cannot arrive before its caller gives up.
  kOverloaded,  ///< The requests ahead of it use all slots until it is due.
};

/// Returns the reason's name for logs and metrics.
constexpr std::string_view to_string(RejectionReason reason) {
  return reason == RejectionReason::kTooLate ? "past_use" : "overloaded";
}

/// Rejection of a request that has not run.
struct PlacementRejection {
  RejectionReason reason = RejectionReason::kOverloaded;
  /// Delay until the retry; empty if a retry cannot succeed.
  std::optional<Duration> retry_after;
  bool has_booking = false;  ///< A slot is expected for the retry, which precedes new requests.
};

}  // namespace stoathold
