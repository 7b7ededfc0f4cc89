/// @file
/// Completions of the emulated engine. They are a pure function of the request, so that tests can
/// compare a received completion with the expected one byte for byte.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace stoathold::emulator {

/// The properties of a chat request that determine its completion.
struct CompletionSpec {
  std::uint64_t fingerprint = 0;        ///< Hash of the model and all message contents.
  std::uint32_t prompt_tokens = 0;      ///< Estimated from the prompt's length.
  std::uint32_t completion_tokens = 0;  ///< Length of the completion.
  std::string prompt;                   ///< All message contents, each followed by a line feed.
};

/// Parses a chat request; returns false if it is malformed.
bool parse_completion_spec(const std::string& body, CompletionSpec& spec);
/// Returns the text of token `index` of a completion; the first token has index 1.
std::string completion_token(std::uint64_t fingerprint, std::uint32_t index);
/// Returns the text of the whole completion.
std::string completion_text(const CompletionSpec& spec);

}  // namespace stoathold::emulator
