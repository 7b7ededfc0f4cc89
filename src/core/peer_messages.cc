#include "core/peer_messages.h"

#include "core/codec.h"

namespace stoathold {

std::string encode(const PeerEnvelope& envelope) {
  return encode_value(envelope);
}

bool decode(const std::string& bytes, PeerEnvelope& envelope) {
  return decode_value(bytes, envelope);
}

}  // namespace stoathold
