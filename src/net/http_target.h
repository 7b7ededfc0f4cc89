/// @file
/// The path and the query of a request target.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace stoathold {

/// A parsed target: decoded path segments and query parameters.
struct HttpTarget {
  std::vector<std::string> segments;
  std::vector<std::pair<std::string, std::string>> parameters;

  /// Returns a parameter's value, or nothing.
  [[nodiscard]] std::optional<std::string> parameter(std::string_view name) const;
  /// Returns a parameter as a number, or `fallback` if it is missing or not a number.
  [[nodiscard]] std::uint64_t number(std::string_view name, std::uint64_t fallback) const;
};

/// Parses an origin-form target (Boost.URL); nothing if it is malformed.
std::optional<HttpTarget> parse_target(std::string_view target);
/// Parses a whole unsigned number; nothing if the text is anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);

}  // namespace stoathold
