#include "quarantine/prompt_parts.h"

#include "base/ids.h"
#include "base/text_fields.h"

namespace stoathold {
namespace {

/// Maximum number of ids in a log line; of more parts, the first and the last ones are logged.
constexpr std::size_t kMaxLoggedParts = 8;
/// Maximum length of one id in a log line.
constexpr std::size_t kMaxLoggedIdBytes = 32;

/// Separates the keys of parts from those of contents.
constexpr std::string_view kPartDomain = "prompt part";

/// Removes the middle of a list that is longer than `limit`.
template <typename Value>
void keep_both_ends(std::vector<Value>& values, std::size_t limit) {
  if (values.size() <= limit) return;
  const auto begin = values.begin() + static_cast<std::ptrdiff_t>(limit / 2);
  values.erase(begin, begin + static_cast<std::ptrdiff_t>(values.size() - limit));
}

}  // namespace

std::vector<std::string_view> split_prompt_parts(std::string_view prompt_prefix) {
  std::vector<std::string_view> parts;
  while (!prompt_prefix.empty()) {
    const std::string_view field = take_field(prompt_prefix);
    const std::size_t colon = field.find(':');
    if (colon == std::string_view::npos) break;
    parts.push_back(field.substr(0, colon));
  }
  return parts;
}

std::vector<PartHash> hash_prompt_parts(std::string_view prompt_prefix, std::string_view service) {
  const std::uint64_t seed = stable_hash(service, stable_hash(kPartDomain));
  std::vector<PartHash> hashes;
  for (const std::string_view part : split_prompt_parts(prompt_prefix)) {
    hashes.push_back(PartHash{stable_hash(part, seed)});
  }
  return hashes;
}

std::string prompt_parts_text(std::string_view prompt_prefix) {
  std::vector<std::string_view> parts = split_prompt_parts(prompt_prefix);
  keep_both_ends(parts, kMaxLoggedParts);
  std::string text;
  for (const std::string_view part : parts) {
    if (!text.empty()) text.push_back(',');
    text += part.substr(0, kMaxLoggedIdBytes);
  }
  return text;
}

ContentHash tenant_part_key(PartHash part, std::uint64_t tenant) {
  return ContentHash{mix_hashes(static_cast<std::uint64_t>(part), tenant)};
}

}  // namespace stoathold
