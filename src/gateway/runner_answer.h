/// @file
/// What the head of a runner's answer says of the runner and of the request, whoever sent it.
#pragma once

#include "gateway/gateway_context.h"

namespace stoathold {

/// Takes in that a runner has answered: it lives, has read the prompt, and reports its load and
/// slowness.
/// @param tokens_to_read the prompt's tokens that were counted as unread; 0 afterwards.
void note_answer(GatewayContext& context, Runner& runner, const UpstreamHead& head,
                 std::uint32_t& tokens_to_read);

/// Whether the answer says that the request was not run. A runner that another one's request
/// reached is gone from its address, and is marked as leaving.
bool was_not_run(Runner& runner, const UpstreamHead& head, const HeaderDialect& dialect);

/// Whether a success is not the runner's own whole answer: encoded on the way, or not signed.
bool lacks_proof(const UpstreamHead& head, const HeaderDialect& dialect);

}  // namespace stoathold
