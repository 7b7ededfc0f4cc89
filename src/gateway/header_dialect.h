/// @file
/// Names of the header fields that the gateway reads and sets. A deployment may use names of its
/// own; the defaults are the product's.
#pragma once

#include <string>

namespace stoathold {

/// Header names, compared without regard to case.
struct HeaderDialect {
  std::string request_id = "X-Request-Id";                ///< Of one attempt of a caller.
  std::string deadline_ms = "X-Deadline-Ms";              ///< Milliseconds that are left.
  std::string last_event_id = "Last-Event-Id";            ///< Resume behind this event.
  std::string prompt_prefix = "X-Prompt-Prefix";          ///< Parts of the prompt, `id:tokens,...`.
  std::string token_usage = "X-Token-Usage";              ///< `prompt,most of the answer`, tokens.
  std::string expected_instance = "X-Expected-Instance";  ///< Runner that alone may run it.
  std::string instance = "X-Instance";                    ///< Runner that answered.
  std::string not_run = "X-Not-Run";                      ///< Present if the runner did not run it.
  std::string load = "X-Load";  ///< `running,waiting,slots`, or with `,slowness` in 100ths.
  std::string response_signature = "X-Response-Signature";  ///< Present on every whole answer.
  std::string api_key = "X-Api-Key";                        ///< Proves who calls; a secret.
  std::string tenant = "X-Tenant";                          ///< Set by the gateway alone.
  std::string max_wait_ms = "X-Max-Wait-Ms";                ///< How long a read may be held.
};

}  // namespace stoathold
