/// @file
/// Parsing and validation of chat completion requests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace stoathold {

/// Fields of a chat request that the node uses for routing; the body is forwarded unchanged.
struct ChatRequest {
  std::string model;
  std::uint64_t prefix =
      0;  ///< Hash of the model and the first 512 prompt bytes, for cache affinity.
  bool wants_stream = false;
};

/// Parses and validates an OpenAI-compatible chat request.
/// @return false, with `error` set, if the body is malformed.
bool parse_chat_request(const std::string& body, ChatRequest& request, Error& error);

/// Returns whether `bytes` are well-formed UTF-8: no overlong encodings, surrogates or code points
/// above U+10FFFF.
bool is_utf8(std::string_view bytes);

}  // namespace stoathold
