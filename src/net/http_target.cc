#include "net/http_target.h"

#include <boost/url.hpp>
#include <charconv>

namespace stoathold {

std::optional<std::string> HttpTarget::parameter(std::string_view name) const {
  for (const auto& [key, value] : parameters) {
    if (key == name) return value;
  }
  return std::nullopt;
}

std::uint64_t HttpTarget::number(std::string_view name, std::uint64_t fallback) const {
  const auto text = parameter(name);
  if (!text) return fallback;
  return parse_number(*text).value_or(fallback);
}

std::optional<HttpTarget> parse_target(std::string_view target) {
  const auto url = boost::urls::parse_origin_form({target.data(), target.size()});
  if (url.has_error()) return std::nullopt;
  HttpTarget parsed;
  for (const auto segment : url->segments()) parsed.segments.emplace_back(segment);
  for (const auto parameter : url->params()) {
    parsed.parameters.emplace_back(parameter.key, parameter.value);
  }
  return parsed;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ec != std::errc{} || result.ptr != end) return std::nullopt;
  return value;
}

}  // namespace stoathold
