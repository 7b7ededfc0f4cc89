/// @file
/// Reports of how fast runners work: from the heads of their answers, and between nodes.
#pragma once

#include "gateway/gateway_context.h"
#include "routing/peer_loads.h"

namespace stoathold {

/// Takes what a runner said of its slowness in an answer. From the first true figure on, the
/// deployment counts as one that reports it; a false one is logged now and then.
void take_slowness(GatewayContext& context, Runner& runner, const LoadReport& report,
                   TimePoint now);

/// Returns the part of digests that tells the nodes of a zone how fast runners work. The context
/// outlives it.
DigestPart speed_digest_part(GatewayContext& context);

}  // namespace stoathold
