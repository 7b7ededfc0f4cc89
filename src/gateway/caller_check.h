/// @file
/// Routing and authentication of a request, the first step of its processing.
#pragma once

#include <optional>
#include <string>

#include "gateway/header_dialect.h"
#include "net/http.h"
#include "routing/configuration.h"

namespace stoathold {

/// The authenticated caller of a request.
struct Caller {
  std::string key;     ///< API key as sent. A secret, kept only to be checked again.
  std::string tenant;  ///< Empty for anonymous callers.
  std::optional<std::uint32_t> priority;  ///< Of the tenant; overrides that of the route.
};

/// Result of the check of one request.
struct CallerCheck {
  int status = 0;  ///< 0 if the request is allowed, otherwise the HTTP status of the refusal.
  const char* reason = "";         ///< Reason of the refusal for the response, logs and metrics.
  const Route* route = nullptr;    ///< Owned by the configuration.
  const Tenant* tenant = nullptr;  ///< Null if anonymous. Owned by the configuration.
  Caller caller;

  [[nodiscard]] bool allowed() const { return status == 0; }
};

/// Finds the route and the tenant of a request. An unknown key is refused with 401 even if the
/// route does not exist, so that it reveals nothing about routes; an unknown route is refused with
/// 404.
CallerCheck check_caller(const ServingConfiguration& configuration, const HeaderDialect& dialect,
                         const HttpExchange& exchange);

/// Returns whether a caller that was allowed before may still use a route under a newer
/// configuration. If the route no longer exists, its earlier access rule applies, so that requests
/// which it admitted are served.
bool is_still_allowed(const ServingConfiguration& configuration, const Route& route,
                      const Caller& caller);

}  // namespace stoathold
