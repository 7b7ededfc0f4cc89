/// @file
/// Parses the path and the query of a request target.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace stoathold {

/// A parsed request target: decoded path segments and query parameters.
struct HttpTarget {
  std::vector<std::string> segments;
  std::vector<std::pair<std::string, std::string>> parameters;

  /// Returns the value of a parameter, or nothing if it is missing.
  [[nodiscard]] std::optional<std::string> parameter(std::string_view name) const;
  /// Returns a parameter as a number, or `fallback` if it is missing or not a number.
  [[nodiscard]] std::uint64_t number(std::string_view name, std::uint64_t fallback) const;
};

/// Parses a target in origin form (Boost.URL); returns nothing if it is malformed.
std::optional<HttpTarget> parse_target(std::string_view target);
/// Parses a text that consists of one unsigned decimal number; returns nothing for any other text.
std::optional<std::uint64_t> parse_number(std::string_view text);

}  // namespace stoathold
