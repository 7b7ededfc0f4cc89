/// @file
/// Reports of the runners' speeds, from their responses and between nodes.
#pragma once

#include "gateway/gateway_context.h"
#include "routing/peer_loads.h"

namespace stoathold {

/// Applies the slowness that a runner reported in a response. The first valid value marks the
/// deployment as one that reports slowness; invalid values are logged at a limited rate.
void apply_slowness_report(GatewayContext& context, Runner& runner, const LoadReport& report,
                           TimePoint now);

/// Returns the handlers of the digest part that shares the runners' speeds within a zone. The
/// context must outlive it.
DigestPart speed_digest_part(GatewayContext& context);

}  // namespace stoathold
