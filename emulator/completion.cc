#include "emulator/completion.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

#include "base/ids.h"

namespace stoathold::emulator {
namespace {

namespace json = boost::json;

constexpr std::uint32_t kBytesPerToken = 4;
constexpr std::uint32_t kDefaultMaxTokens = 64;
constexpr std::uint32_t kMinCompletionTokens = 8;
constexpr std::uint32_t kCompletionTokenRange = 57;
constexpr std::array<std::string_view, 16> kVocabulary{
    "the ",  "river ", "stage ", "is ",     "rising ", "and ",  "licence ", "review ",
    "note ", "for ",   "day ",   "centre ", "gauge ",  "held ", "steady ",  "today "};

}  // namespace

bool parse_completion_spec(const std::string& body, CompletionSpec& spec) {
  boost::system::error_code error;
  const auto value = json::parse(body, error);
  if (error || !value.is_object()) return false;
  const auto& object = value.get_object();
  const auto* messages = object.if_contains("messages");
  const auto* model = object.if_contains("model");
  if (messages == nullptr || !messages->is_array() || model == nullptr || !model->is_string()) {
    return false;
  }
  for (const auto& message : messages->get_array()) {
    const auto* content =
        message.is_object() ? message.get_object().if_contains("content") : nullptr;
    if (content == nullptr || !content->is_string()) return false;
    spec.prompt += std::string_view(content->get_string());
    spec.prompt += '\n';
  }
  std::uint32_t limit = kDefaultMaxTokens;
  if (const auto* tokens = object.if_contains("max_tokens")) {
    boost::system::error_code number_error;
    limit = tokens->to_number<std::uint32_t>(number_error);
    if (number_error || limit == 0) return false;
  }
  const std::string_view model_name = model->get_string();
  spec.fingerprint = stable_hash(spec.prompt, stable_hash(model_name));
  spec.prompt_tokens = static_cast<std::uint32_t>(spec.prompt.size()) / kBytesPerToken + 1;
  const auto default_length =
      static_cast<std::uint32_t>(kMinCompletionTokens + spec.fingerprint % kCompletionTokenRange);
  spec.completion_tokens = limit <= kDefaultMaxTokens ? std::min(default_length, limit) : limit;
  return true;
}

std::string completion_token(std::uint64_t fingerprint, std::uint32_t index) {
  const std::uint64_t hash = mix_hashes(fingerprint, index);
  return std::string(kVocabulary[hash % kVocabulary.size()]);
}

std::string completion_text(const CompletionSpec& spec) {
  std::string text;
  for (std::uint32_t i = 1; i <= spec.completion_tokens; ++i)
    text += completion_token(spec.fingerprint, i);
  return text;
}

}  // namespace stoathold::emulator
