/// @file
/// Names of the header fields that the gateway reads and sets. A deployment may override the
/// defaults.
#pragma once

#include <string>

namespace stoathold {

/// Header names, compared case-insensitively.
struct HeaderDialect {
  std::string request_id = "X-Request-Id";      ///< Id of one attempt of a caller.
  std::string deadline_ms = "X-Deadline-Ms";    ///< Milliseconds until the deadline.
  std::string last_event_id = "Last-Event-Id";  ///< Resume after this event.
  /// Id of the caller's attempt that delivered the first event of the stream to resume.
  std::string resumes = "X-Resumes";
  std::string prompt_prefix = "X-Prompt-Prefix";  ///< Segments of the prompt, `id:tokens,...`.
  std::string token_usage = "X-Token-Usage";      ///< Tokens, `prompt,response limit`.
  std::string expected_instance = "X-Expected-Instance";  ///< The only runner that may run it.
  std::string instance = "X-Instance";                    ///< Runner that responded.
  std::string not_run = "X-Not-Run";                      ///< Present if the runner did not run it.
  std::string load = "X-Load";  ///< `running,waiting,slots`, optionally `,slowness` in percent.
  std::string response_signature = "X-Response-Signature";  ///< Present on every complete response.
  std::string api_key = "X-Api-Key";                        ///< Authenticates the caller; a secret.
  std::string tenant = "X-Tenant";                          ///< Set only by the gateway.
  std::string max_wait_ms = "X-Max-Wait-Ms";                ///< Longest time that a read may block.
};

}  // namespace stoathold
