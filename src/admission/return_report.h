/// @file
/// What a node reports to others about callers that were told to come back.
#pragma once

#include <cstdint>

namespace stoathold {

/// One rejected request, by its content: nothing else is the same when it comes again.
struct ReturnReport {
  std::uint64_t content = 0;   ///< `ContentHash` of the request.
  std::uint64_t service = 0;   ///< Hash of its name.
  std::uint16_t after_ms = 0;  ///< Until its caller was told to come; 0: the time has come.
  bool came = false;           ///< It has come; it may not come again as one that was told.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(content, service, after_ms, came);
  }
};

}  // namespace stoathold
