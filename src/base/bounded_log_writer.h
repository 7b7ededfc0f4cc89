/// @file
/// Hands log lines to a thread that writes them, so that nobody who logs ever waits.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"

namespace stoathold {

/// Bounds of a log writer.
struct LogWriterBounds {
  /// Bytes that may wait to be written.
  std::size_t waiting_bytes = 1024UL * 1024;
  /// Lines that come within this time of the first are written with it, unless one is urgent. Each
  /// write wakes the thread twice; what a killed process has not written is lost.
  Duration gather_time = std::chrono::milliseconds(250);
};

/// Keeps lines in a bounded buffer and writes those of a short time together. Any thread may add.
class BoundedLogWriter {
 public:
  /// Writes whole lines; may block for as long as it likes.
  using Write = std::function<void(const std::string& lines)>;

  explicit BoundedLogWriter(Write write, LogWriterBounds bounds = {});
  /// Does not wait for the thread, which ends after the write that it is in.
  ~BoundedLogWriter();
  BoundedLogWriter(const BoundedLogWriter&) = delete;
  BoundedLogWriter& operator=(const BoundedLogWriter&) = delete;

  /// Takes a line, without its end.
  /// @return false if it does not fit and is left out.
  bool add(std::string_view line, bool urgent);
  /// Waits until all lines taken so far are written.
  /// @return false if they were not in time.
  bool flush(Duration limit);

 private:
  struct State;
  static void write_forever(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace stoathold
