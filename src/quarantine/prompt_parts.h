/// @file
/// Identifies the parts of a prompt, which many requests share.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "quarantine/request_content.h"

namespace stoathold {

/// Hash of a prompt part and of the service that runs the request: other services run other models.
/// Equal at all nodes and across restarts.
enum class PartHash : std::uint64_t {};

/// Splits `id:tokens,id:tokens,...` into ids. For malformed text, returns the parts before the
/// error. The limit on request headers bounds their number.
std::vector<std::string_view> split_prompt_parts(std::string_view prompt_prefix);

/// Hashes the parts for a service, in their order. The last one belongs to the request itself.
std::vector<PartHash> hash_prompt_parts(std::string_view prompt_prefix, std::string_view service);

/// Returns the ids of the parts for logs, shortened to a bounded length.
std::string prompt_parts_text(std::string_view prompt_prefix);

/// Returns the key under which a part is quarantined for all tenants. Keys of parts and of request
/// contents share the records and messages of quarantines.
constexpr ContentHash part_key(PartHash part) {
  return ContentHash{static_cast<std::uint64_t>(part)};
}

/// Returns the key under which a part is quarantined for one tenant only.
/// @param tenant hash of the tenant's name.
ContentHash tenant_part_key(PartHash part, std::uint64_t tenant);

}  // namespace stoathold
