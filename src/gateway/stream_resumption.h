/// @file
/// Decides at which runners a stream that a caller takes up again may go on.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

#include "gateway/gateway_context.h"
#include "routing/stream_origins.h"

namespace stoathold {

/// Returns the longest time from the first event of a stream to its last resumption that a
/// configuration allows, from the timeouts of its streaming routes.
Duration stream_lifetime(const ServingConfiguration& configuration);

/// Returns the name of an origin's service if the route still uses it; null otherwise.
const std::string* find_origin_service(const Route& route, const StreamOrigin& origin);

/// Finds the origin of a stream: as recorded by a node, or because only one version can have begun
/// it. The latter requires that the directory's list is confirmed after the call, since the node
/// that began the stream may have read a newer one.
/// @param stream empty if the caller does not say which stream it takes up.
boost::asio::awaitable<OriginLookup> find_stream_origin(GatewayContext& context, const Route& route,
                                                        std::optional<StreamKey> stream);

/// Returns the name of an origin's knowledge, for logs and metrics.
std::string_view to_string(OriginKnowledge knowledge);

}  // namespace stoathold
