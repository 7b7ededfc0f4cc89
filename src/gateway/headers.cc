#include "gateway/headers.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace stoathold {

bool is_connection_header(std::string_view name) {
  static constexpr std::array<std::string_view, 11> kNames{"connection",
                                                           "keep-alive",
                                                           "proxy-connection",
                                                           "proxy-authenticate",
                                                           "proxy-authorization",
                                                           "te",
                                                           "trailer",
                                                           "transfer-encoding",
                                                           "upgrade",
                                                           "content-length",
                                                           "expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](std::string_view candidate) { return same_header_name(candidate, name); });
}

bool is_stripped_header(const HeaderDialect& dialect, std::string_view name) {
  return is_connection_header(name) || same_header_name(name, dialect.expected_instance) ||
         same_header_name(name, dialect.api_key) || same_header_name(name, dialect.tenant);
}

bool names_header(std::string_view connection, std::string_view name) {
  while (!connection.empty()) {
    const std::size_t comma = connection.find(',');
    std::string_view field = connection.substr(0, comma);
    connection.remove_prefix(comma == std::string_view::npos ? connection.size() : comma + 1);
    while (field.starts_with(' ')) field.remove_prefix(1);
    while (field.ends_with(' ')) field.remove_suffix(1);
    if (same_header_name(field, name)) return true;
  }
  return false;
}

namespace {

/// Parses the optional fourth number, the slowness in percent.
/// @param text the rest of the header after the third number.
void parse_slowness(std::string_view text, LoadReport& report) {
  if (!text.starts_with(',')) return;
  text.remove_prefix(1);
  while (text.starts_with(' ')) text.remove_prefix(1);
  std::uint64_t percent = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), percent);
  const std::string_view rest(result.ptr, text.data() + text.size());
  const bool terminated = rest.empty() || rest.front() == ',' || rest.front() == ' ';
  report.invalid_slowness = result.ec != std::errc{} || !terminated || !is_valid_slowness(percent);
  if (!report.invalid_slowness) report.slowness_percent = static_cast<std::uint32_t>(percent);
}

}  // namespace

std::optional<LoadReport> parse_load(std::string_view text) {
  std::array<std::uint32_t, 3> numbers{};
  const char* position = text.data();
  const char* end = text.data() + text.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    while (position != end && *position == ' ') ++position;
    const auto result = std::from_chars(position, end, numbers[i]);
    if (result.ec != std::errc{}) return std::nullopt;
    position = result.ptr;
    const bool last = i + 1 == numbers.size();
    if (!last && (position == end || *position++ != ',')) return std::nullopt;
  }
  LoadReport report{.running = numbers[0], .waiting = numbers[1], .slots = numbers[2]};
  while (position != end && *position == ' ') ++position;
  parse_slowness({position, end}, report);
  return report;
}

}  // namespace stoathold
