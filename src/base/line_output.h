/// @file
/// Writes lines to a file descriptor so that no reader ever sees a part of one.
#pragma once

#include <cstddef>
#include <string_view>

namespace stoathold {

/// Writes lines to a descriptor that it does not own. A pipe takes up to `PIPE_BUF` bytes whole or
/// not at all, so lines go out in pieces of whole lines up to that: a process that is killed in a
/// write leaves none cut, for the next one of the node to write on behind it. Used on one thread.
class LineOutput {
 public:
  explicit LineOutput(int descriptor) : descriptor_(descriptor) {}

  /// Writes lines, each with its end; waits for as long as the descriptor takes nothing. Lines that
  /// it fails to take are left out.
  void write(std::string_view lines);

 private:
  /// @return how many bytes went out: fewer than given if the descriptor failed.
  std::size_t write_bytes(std::string_view bytes) const;

  int descriptor_;
  bool cut_ = false;  ///< The last line that went out has no end.
};

}  // namespace stoathold
