#include "base/line_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace stoathold {
namespace {

/// Returns the length of the next write: as many complete lines as a pipe accepts atomically, or
/// one longer line.
std::size_t write_length(std::string_view lines) {
  if (lines.size() <= PIPE_BUF) return lines.size();
  const std::size_t last_end = lines.rfind('\n', PIPE_BUF - 1);
  if (last_end != std::string_view::npos) return last_end + 1;
  return std::min(lines.find('\n', PIPE_BUF), lines.size() - 1) + 1;
}

/// Waits until a non-blocking descriptor is writable.
void wait_writable(int descriptor) {
  pollfd descriptor_state{descriptor, POLLOUT, 0};
  poll(&descriptor_state, 1, -1);
}

}  // namespace

void LineOutput::write(std::string_view lines) {
  while (!lines.empty()) {
    // Ends a truncated line before the next one begins.
    if (line_incomplete_ && write_bytes("\n") == 0) return;
    line_incomplete_ = false;
    const std::size_t length = write_length(lines);
    const std::size_t written = write_bytes(lines.substr(0, length));
    if (written < length) {
      line_incomplete_ = written > 0 && lines[written - 1] != '\n';
      return;
    }
    lines.remove_prefix(length);
  }
}

std::size_t LineOutput::write_bytes(std::string_view bytes) const {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const std::string_view remaining = bytes.substr(written);
    const ssize_t count = ::write(descriptor_, remaining.data(), remaining.size());
    if (count > 0) {
      written += static_cast<std::size_t>(count);
    } else if (count < 0 && errno == EAGAIN) {
      wait_writable(descriptor_);
    } else if (count == 0 || errno != EINTR) {
      break;
    }
  }
  return written;
}

}  // namespace stoathold
