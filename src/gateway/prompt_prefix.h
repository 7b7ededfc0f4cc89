/// @file
/// Parses the prompt segments of a request, which decide the runners that may have them cached.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/quantities.h"

namespace stoathold {

/// Summary of a prompt's segments for routing.
struct PromptPrefix {
  std::uint64_t shared_key = 0;  ///< Hash of the segments shared with other requests; 0 if none.
  std::uint32_t shared_prefix_tokens = 0;  ///< Tokens in the shared segments.
  std::uint32_t tokens = 0;                ///< Tokens in all segments.
};

/// Parses `id:tokens,id:tokens,...`; the last segment is not shared with other requests. For
/// malformed text, returns the segments before the error.
PromptPrefix parse_prompt_prefix(std::string_view text);

/// Parses `prompt,response`, both in tokens.
/// @return the token limit of the response; 0 if malformed.
TokenCount parse_response_tokens(std::string_view text);

}  // namespace stoathold
