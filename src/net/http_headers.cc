#include <algorithm>
#include <cctype>

#include "net/http.h"

namespace stoathold {

bool same_header_name(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view find_header(const std::vector<HttpHeader>& headers, std::string_view name) {
  for (const auto& header : headers) {
    if (same_header_name(header.name, name)) return header.value;
  }
  return {};
}

}  // namespace stoathold
