/// @file
/// Bounds of what a server holds for its callers, and what it tells when it keeps to them.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "base/memory_budget.h"
#include "base/time.h"

namespace stoathold {

/// Bytes of a connection beside its request and answer: coroutines, parser, read buffer (measured
/// with 2,000 idle ones: see docs/design/memory-budget.md).
inline constexpr std::uint64_t kConnectionBytes = 16UL * 1024;

/// What a server did since room was short.
enum class ShortageAct : std::uint8_t {
  kBodyRefused,        ///< A request was refused before its body was read.
  kBodyCutOff,         ///< A body came too slowly while others needed the room.
  kAnswerCutOff,       ///< An answer was not taken while others needed the room.
  kIdleClosed,         ///< The connection that was idle for longest was closed for a new one.
  kConnectionRefused,  ///< A new connection got 503.
  kConnectionClosed,   ///< A new connection was closed unread.
};

/// Returns the name for logs and metrics.
std::string_view to_string(ShortageAct act);

/// One such act.
struct Shortage {
  ShortageAct act = ShortageAct::kBodyRefused;
  int status = 0;           ///< Sent to the caller; 0: none.
  std::uint64_t bytes = 0;  ///< Asked for, or held until then.
  Duration age{0};          ///< For which bytes were held.
  Duration stalled{0};      ///< For which the caller had not gone on.
};

/// Bounds of a server. With a budget, the server is used on one thread.
struct ServerBounds {
  MemoryBudget* budget = nullptr;    ///< Outlives the server; null, or without a limit: none.
  std::size_t most_connections = 0;  ///< 0: no bound.
  std::function<void(const Shortage&)> listener;  ///< Must not call the server.

  [[nodiscard]] bool limited() const { return budget != nullptr && budget->limited(); }
  void tell(const Shortage& shortage) const {
    if (listener) listener(shortage);
  }
};

}  // namespace stoathold
