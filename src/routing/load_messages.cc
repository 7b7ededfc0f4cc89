#include "routing/load_messages.h"

#include "core/codec.h"

namespace stoathold {

std::string encode_message(const PeerLoadMessage& message) {
  return encode_value(message);
}

bool decode_message(const std::string& bytes, PeerLoadMessage& message) {
  return decode_value(bytes, message);
}

}  // namespace stoathold
