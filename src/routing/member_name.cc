#include "routing/member_name.h"

namespace stoathold {
namespace {

constexpr char kSeparator = '|';

}  // namespace

std::string format_member_name(const MemberName& name) {
  return name.node + kSeparator + name.zone + kSeparator + name.peer_address;
}

std::optional<MemberName> parse_member_name(std::string_view text) {
  const std::size_t first = text.find(kSeparator);
  if (first == std::string_view::npos) return std::nullopt;
  const std::size_t second = text.find(kSeparator, first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  MemberName name;
  name.node = text.substr(0, first);
  name.zone = text.substr(first + 1, second - first - 1);
  name.peer_address = text.substr(second + 1);
  return name;
}

}  // namespace stoathold
