/// @file
/// HTTP API for operators: resources, watch, nodes, runners, shards, explain, health and metrics.
#pragma once

#include "net/http.h"
#include "server/node_runtime.h"

namespace stoathold {

/// Serves `/v1/resources...`, `/v1/watch`, `/v1/nodes`, `/v1/runners`, `/v1/shards`,
/// `/v1/explain/ID`, `/healthz`, `/readyz` and `/metrics`.
/// @return false if the request matches none of these routes; nothing has been sent then.
boost::asio::awaitable<bool> serve_operator(NodeRuntime& runtime, HttpExchange& exchange);

}  // namespace stoathold
