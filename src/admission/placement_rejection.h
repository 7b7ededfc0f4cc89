/// @file
/// Why a request that waits for a slot is rejected, and when its caller should come back.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace stoathold {

/// Why a request is rejected before its wait is over.
enum class RejectionReason : std::uint8_t {
  kPastUse,     ///< Its first event cannot come before its caller leaves.
  kOverloaded,  ///< What goes before it takes all slots until then.
};

/// Returns the reason's name for logs and metrics.
constexpr std::string_view to_string(RejectionReason reason) {
  return reason == RejectionReason::kPastUse ? "past_use" : "overloaded";
}

/// A rejection. The request has not run.
struct PlacementRejection {
  RejectionReason reason = RejectionReason::kOverloaded;
  /// When to come back; nothing where coming back cannot help.
  std::optional<Duration> retry_after;
  bool promised = false;  ///< A slot is expected for it then: it goes before newcomers.
};

}  // namespace stoathold
