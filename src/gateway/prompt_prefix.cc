#include "gateway/prompt_prefix.h"

#include <charconv>

#include "base/ids.h"
#include "base/text_fields.h"

namespace stoathold {

TokenCount parse_response_tokens(std::string_view text) {
  take_field(text);
  const std::string_view response = take_field(text);
  TokenCount tokens;
  const auto result =
      std::from_chars(response.data(), response.data() + response.size(), tokens.value);
  return result.ec == std::errc{} ? tokens : TokenCount{};
}

PromptPrefix parse_prompt_prefix(std::string_view text) {
  PromptPrefix prefix;
  while (!text.empty()) {
    const std::string_view part = take_field(text);
    const bool last = text.empty();
    const std::size_t colon = part.find(':');
    if (colon == std::string_view::npos) break;
    std::uint32_t tokens = 0;
    std::from_chars(part.data() + colon + 1, part.data() + part.size(), tokens);
    prefix.tokens += tokens;
    if (last) break;
    prefix.shared_key = mix_hashes(prefix.shared_key, stable_hash(part.substr(0, colon)));
    prefix.shared_prefix_tokens += tokens;
  }
  return prefix;
}

}  // namespace stoathold
