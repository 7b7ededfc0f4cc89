/// @file
/// The name of a node in the workers' group. It carries what other nodes need to reach it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace stoathold {

/// A node as its group name describes it.
struct MemberName {
  std::string node;
  std::string zone;
  std::string peer_address;  ///< `ip:port` for messages between nodes; empty: none.
};

/// Writes `node|zone|address`.
std::string format_member_name(const MemberName& name);
/// Parses it; nothing if it is malformed.
std::optional<MemberName> parse_member_name(std::string_view text);

}  // namespace stoathold
