/// @file
/// HTTP API for callers: chat completions, batches and models.
#pragma once

#include "net/http.h"
#include "server/node_runtime.h"

namespace stoathold {

/// Request headers that callers may set; all are optional.
inline constexpr const char* kTenantHeader = "x-tenant";
inline constexpr const char* kDeadlineHeader = "x-deadline-ms";
inline constexpr const char* kUnsafeHeader = "x-unsafe-to-repeat";
inline constexpr const char* kIdempotencyHeader = "idempotency-key";
inline constexpr const char* kLastEventHeader = "last-event-id";

/// Serves `/v1/chat/completions`, `/v1/batches...` and `/v1/models`.
/// @return false if the request matches none of these routes; nothing has been sent then.
boost::asio::awaitable<bool> serve_caller(NodeRuntime& runtime, HttpExchange& exchange);

}  // namespace stoathold
