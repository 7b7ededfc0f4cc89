/// @file
/// Name of a node in the worker group, which contains the address at which other nodes reach it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace stoathold {

/// Components of a node's name in the worker group.
struct MemberName {
  std::string node;
  std::string zone;
  std::string peer_address;  ///< `ip:port` for messages between nodes; empty if there is none.
};

/// Returns the name in the form `node|zone|address`.
std::string format_member_name(const MemberName& name);
/// Parses a name; returns nothing if it is malformed.
std::optional<MemberName> parse_member_name(std::string_view text);

}  // namespace stoathold
