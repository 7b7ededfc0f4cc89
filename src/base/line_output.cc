#include "base/line_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace stoathold {
namespace {

/// Length of the next piece: whole lines up to what a pipe takes at once, or one longer line.
std::size_t piece_length(std::string_view lines) {
  if (lines.size() <= PIPE_BUF) return lines.size();
  const std::size_t last_end = lines.rfind('\n', PIPE_BUF - 1);
  if (last_end != std::string_view::npos) return last_end + 1;
  return std::min(lines.find('\n', PIPE_BUF), lines.size() - 1) + 1;
}

/// Waits until a descriptor that does not wait by itself takes more.
void wait_writable(int descriptor) {
  pollfd waited{descriptor, POLLOUT, 0};
  poll(&waited, 1, -1);
}

}  // namespace

void LineOutput::write(std::string_view lines) {
  while (!lines.empty()) {
    // A line that was cut ends before the next one begins.
    if (cut_ && write_bytes("\n") == 0) return;
    cut_ = false;
    const std::size_t length = piece_length(lines);
    const std::size_t written = write_bytes(lines.substr(0, length));
    if (written < length) {
      cut_ = written > 0 && lines[written - 1] != '\n';
      return;
    }
    lines.remove_prefix(length);
  }
}

std::size_t LineOutput::write_bytes(std::string_view bytes) const {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const std::string_view rest = bytes.substr(written);
    const ssize_t count = ::write(descriptor_, rest.data(), rest.size());
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
