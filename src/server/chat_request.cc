#include "server/chat_request.h"

#include <boost/json.hpp>

#include "base/ids.h"
#include "server/error_response.h"

namespace stoathold {
namespace {

namespace json = boost::json;

constexpr std::size_t kPrefixBytes = 512;

bool fail(Error& error, std::string message) {
  error = not_run_error(ErrorCode::kBadRequest, Step::kParse, std::move(message));
  return false;
}

/// Returns the length of the well-formed UTF-8 sequence that `bytes` start with; 0 if they start
/// with none. `bytes` must not be empty.
std::size_t sequence_length(std::string_view bytes) {
  const auto byte_at = [bytes](std::size_t index) {
    return static_cast<unsigned char>(bytes[index]);
  };
  const unsigned first_byte = byte_at(0);
  if (first_byte < 0x80) return 1;
  std::size_t length = 0;
  unsigned min_second_byte = 0x80;
  unsigned max_second_byte = 0xbf;
  if (first_byte >= 0xc2 && first_byte <= 0xdf) length = 2;
  if (first_byte >= 0xe0 && first_byte <= 0xef) length = 3;
  if (first_byte >= 0xf0 && first_byte <= 0xf4) length = 4;
  if (first_byte == 0xe0) min_second_byte = 0xa0;
  if (first_byte == 0xed) max_second_byte = 0x9f;
  if (first_byte == 0xf0) min_second_byte = 0x90;
  if (first_byte == 0xf4) max_second_byte = 0x8f;
  if (length == 0 || bytes.size() < length) return 0;
  if (byte_at(1) < min_second_byte || byte_at(1) > max_second_byte) return 0;
  for (std::size_t i = 2; i < length; ++i) {
    if (byte_at(i) < 0x80 || byte_at(i) > 0xbf) return 0;
  }
  return length;
}

}  // namespace

bool is_utf8(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t length = sequence_length(bytes);
    if (length == 0) return false;
    bytes.remove_prefix(length);
  }
  return true;
}

bool parse_chat_request(const std::string& body, ChatRequest& request, Error& error) {
  if (!is_utf8(body)) return fail(error, "the body is not valid UTF-8");
  boost::system::error_code parse_error;
  const auto value = json::parse(body, parse_error);
  if (parse_error) return fail(error, "the body is not valid JSON: " + parse_error.message());
  if (!value.is_object()) return fail(error, "the body must be a JSON object");
  const auto& object = value.get_object();
  const auto* model = object.if_contains("model");
  if (model == nullptr || !model->is_string()) return fail(error, "model must be a string");
  request.model = std::string(model->get_string());
  const auto* messages = object.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
    return fail(error, "messages must be a non-empty array");
  }
  std::string head;
  for (const auto& message : messages->get_array()) {
    const auto* content =
        message.is_object() ? message.get_object().if_contains("content") : nullptr;
    if (content == nullptr || !content->is_string()) {
      return fail(error, "each message must have a string content");
    }
    if (head.size() < kPrefixBytes) head += std::string_view(content->get_string());
  }
  if (head.size() > kPrefixBytes) head.resize(kPrefixBytes);
  request.prefix = stable_hash(head, stable_hash(request.model));
  if (const auto* tokens = object.if_contains("max_tokens")) {
    boost::system::error_code number_error;
    const auto count = tokens->to_number<std::uint32_t>(number_error);
    if (number_error || count == 0) {
      return fail(error, "max_tokens must be a whole number of at least 1");
    }
  }
  const auto* stream = object.if_contains("stream");
  if (stream != nullptr && !stream->is_bool()) return fail(error, "stream must be true or false");
  request.wants_stream = stream != nullptr && stream->get_bool();
  return true;
}

}  // namespace stoathold
