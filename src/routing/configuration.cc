#include "routing/configuration.h"

#include <algorithm>
#include <cctype>

namespace stoathold {

const Route* ServingConfiguration::find_route(const std::string& host,
                                              std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    if (best != nullptr && best->path_prefix.size() >= route.path_prefix.size()) continue;
    best = &route;
  }
  return best;
}

std::string normalize_host(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos && host.find(']', colon) == host.npos;
  std::string result(has_port ? host.substr(0, colon) : host);
  std::transform(result.begin(), result.end(), result.begin(),
                 [](unsigned char character) { return std::tolower(character); });
  return result;
}

}  // namespace stoathold
