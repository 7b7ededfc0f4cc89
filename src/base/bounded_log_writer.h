/// @file
/// Passes log lines to a writer thread, so that logging never blocks its caller.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"

namespace stoathold {

/// Limits of a log writer.
struct LogWriterLimits {
  /// Maximum number of bytes that may wait to be written.
  std::size_t max_queued_bytes = 1024UL * 1024;
  /// Lines that arrive within this time after the first one are written together with it, unless
  /// one of them is urgent. Each write wakes the thread twice; a process that is killed loses the
  /// lines that it has not written.
  Duration batch_interval = std::chrono::milliseconds(250);
};

/// Queues lines in a bounded buffer and writes them in batches. Any thread may add lines.
class BoundedLogWriter {
 public:
  /// Writes complete lines; may block indefinitely.
  using Write = std::function<void(const std::string& lines)>;

  explicit BoundedLogWriter(Write write, LogWriterLimits limits = {});
  /// Does not wait for the writer thread, which ends after its current write.
  ~BoundedLogWriter();
  BoundedLogWriter(const BoundedLogWriter&) = delete;
  BoundedLogWriter& operator=(const BoundedLogWriter&) = delete;

  /// Queues a line, given without its line break.
  /// @return false if it does not fit; it is then dropped.
  bool add(std::string_view line, bool urgent);
  /// Waits until all lines queued so far are written.
  /// @return false if `timeout` has passed before.
  bool flush(Duration timeout);

 private:
  struct State;
  static void write_forever(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace stoathold
