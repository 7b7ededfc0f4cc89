/// @file
/// Fields of comma-separated text.
#pragma once

#include <string_view>

namespace stoathold {

/// Removes the text up to the next comma and returns it without surrounding spaces.
inline std::string_view take_field(std::string_view& text) {
  const std::size_t comma = text.find(',');
  std::string_view field = text.substr(0, comma);
  text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
  while (field.starts_with(' ')) field.remove_prefix(1);
  while (field.ends_with(' ')) field.remove_suffix(1);
  return field;
}

}  // namespace stoathold
