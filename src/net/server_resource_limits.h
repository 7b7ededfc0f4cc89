/// @file
/// Memory and connection limits of a server, and the overload events that it reports when it
/// enforces them.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "base/memory_budget.h"
#include "base/time.h"

namespace stoathold {

/// Memory of a connection apart from its request and response: coroutines, parser and read buffer
/// (measured with 2,000 idle connections, see docs/design/memory-budget.md).
inline constexpr std::uint64_t kConnectionOverheadBytes = 16UL * 1024;

/// Action of a server at its memory or connection limit.
enum class OverloadAction : std::uint8_t {
  kBodyRefused,        ///< A request was rejected before its body was read.
  kBodyAborted,        ///< A body that arrived too slowly was aborted to free memory.
  kResponseAborted,    ///< A response that the client did not read was aborted to free memory.
  kIdleClosed,         ///< The longest idle connection was closed in favour of a new one.
  kConnectionRefused,  ///< A new connection was answered with 503.
  kConnectionClosed,   ///< A new connection was closed without reading.
};

/// Returns the name for logs and metrics.
std::string_view to_string(OverloadAction act);

/// Report of one such action.
struct OverloadEvent {
  OverloadAction action = OverloadAction::kBodyRefused;
  int status = 0;           ///< Status sent to the client; 0: none.
  std::uint64_t bytes = 0;  ///< Bytes requested, or held until the action.
  Duration held_for{0};     ///< How long the bytes were held.
  Duration stalled{0};      ///< How long the client had made no progress.
};

/// Memory and connection limits of a server. A server with a memory budget must run on a single
/// thread.
struct ServerResourceLimits {
  MemoryBudget* budget = nullptr;          ///< Outlives the server; null or unlimited: no limit.
  std::size_t max_client_connections = 0;  ///< 0: no limit.
  std::function<void(const OverloadEvent&)> on_overload;  ///< Must not call the server.

  [[nodiscard]] bool limited() const { return budget != nullptr && budget->limited(); }
  void report(const OverloadEvent& event) const {
    if (on_overload) on_overload(event);
  }
};

}  // namespace stoathold
