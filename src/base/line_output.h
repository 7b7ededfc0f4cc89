/// @file
/// Writes lines to a file descriptor such that no reader sees a partial line.
#pragma once

#include <cstddef>
#include <string_view>

namespace stoathold {

/// Writes lines to a descriptor that it does not own. A write of up to `PIPE_BUF` bytes to a pipe
/// is atomic, so lines are written in blocks of complete lines up to that size: a process that is
/// killed during a write leaves no truncated line to which the node's next process would append.
/// Not thread safe.
class LineOutput {
 public:
  explicit LineOutput(int descriptor) : descriptor_(descriptor) {}

  /// Writes lines, each with its line break; blocks while the descriptor is not writable. Lines
  /// that cannot be written because of an error are dropped.
  void write(std::string_view lines);

 private:
  /// @return the number of bytes written; less than `bytes.size()` if a write failed.
  std::size_t write_bytes(std::string_view bytes) const;

  int descriptor_;
  bool line_incomplete_ = false;  ///< The last line written has no line break.
};

}  // namespace stoathold
