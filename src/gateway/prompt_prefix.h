/// @file
/// The parts of a request's prompt, as far as they decide which runner has read them before.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/quantities.h"

namespace stoathold {

/// What routing needs of a prompt's parts.
struct PromptPrefix {
  std::uint64_t shared_key = 0;     ///< Hash of the parts that other requests share; 0: none.
  std::uint32_t shared_tokens = 0;  ///< Tokens in those parts.
  std::uint32_t tokens = 0;         ///< Tokens in all parts.
};

/// Reads `id:tokens,id:tokens,...`; the last part belongs to the request alone. Malformed text
/// yields what was read before the fault.
PromptPrefix parse_prompt_prefix(std::string_view text);

/// Reads `prompt,answer`, both in tokens.
/// @return the most tokens that the answer may have; 0 if malformed.
TokenCount parse_answer_tokens(std::string_view text);

}  // namespace stoathold
