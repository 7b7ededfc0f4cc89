/// @file
/// Evaluates the head of a runner's response, for online requests and batch items.
#pragma once

#include "gateway/gateway_context.h"

namespace stoathold {

/// Updates the runner's state from the head of a response: the runner is alive, has processed the
/// prompt, and reports its load and slowness.
/// @param uncached_prompt_tokens prompt tokens that were counted as unprocessed; reset to 0.
void record_response_head(GatewayContext& context, Runner& runner, const UpstreamExchange& upstream,
                          std::uint32_t& uncached_prompt_tokens);

/// Returns whether the response says that the request was not run. If another instance received it
/// (421), the expected runner is no longer at this address and is marked as leaving.
bool was_not_run(Runner& runner, const UpstreamHead& head, const HeaderDialect& dialect);

/// Returns whether a successful response is not verified as the runner's own complete response: it
/// is not signed, or was encoded in transit.
bool is_unverified(const UpstreamHead& head, const HeaderDialect& dialect);

}  // namespace stoathold
