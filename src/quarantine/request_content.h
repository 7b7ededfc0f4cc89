/// @file
/// Identifies copies of a request that arrive with another id and other headers, at any node.
#pragma once

#include <cstdint>
#include <string_view>

namespace stoathold {

/// Hash of a request's content; equal for all its copies, at all nodes and across restarts.
enum class ContentHash : std::uint64_t {};

/// Fields that identify equal requests. Ids and other headers differ between copies.
struct RequestContent {
  std::string_view tenant;  ///< Tenant of the caller; empty for anonymous callers.
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view body;
};

/// Hashes the content in one pass over the body.
ContentHash content_hash(const RequestContent& content);

}  // namespace stoathold
