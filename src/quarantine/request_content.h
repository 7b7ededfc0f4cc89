/// @file
/// Recognises a request that comes again under another id, with other headers, at any node.
#pragma once

#include <cstdint>
#include <string_view>

namespace stoathold {

/// Identity of what a request asks; equal for all its copies, at all nodes and over restarts.
enum class ContentHash : std::uint64_t {};

/// What makes two requests the same. Ids and other headers differ between copies.
struct RequestContent {
  std::string_view tenant;  ///< Who asks; empty where callers are anonymous.
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view body;
};

/// Hashes the content; costs one pass over the body.
ContentHash content_hash(const RequestContent& content);

}  // namespace stoathold
