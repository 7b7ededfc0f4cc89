#include "gateway/prompt_prefix.h"

#include <charconv>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Removes the text up to the next comma and returns it without surrounding spaces.
std::string_view take_field(std::string_view& text) {
  const std::size_t comma = text.find(',');
  std::string_view field = text.substr(0, comma);
  text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
  while (field.starts_with(' ')) field.remove_prefix(1);
  while (field.ends_with(' ')) field.remove_suffix(1);
  return field;
}

}  // namespace

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
