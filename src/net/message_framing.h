/// @file
/// Limit of the bytes of an HTTP message that belong neither to its head nor to its body.
#pragma once

#include <cstddef>

namespace stoathold {

/// Room in a receive buffer, besides that for a head, for a chunk's size line with its extension
/// and for the trailers behind the last chunk. The parser leaves each of them in the buffer until
/// its end has arrived; one that does not fit is refused.
inline constexpr std::size_t kMaxFramingBytes = 16UL * 1024;

/// Returns the maximum size of a receive buffer for messages whose heads have this limit.
inline constexpr std::size_t max_receive_buffer_bytes(std::size_t max_head_bytes) {
  return max_head_bytes + kMaxFramingBytes;
}

}  // namespace stoathold
