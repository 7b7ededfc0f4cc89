/// @file
/// Decides, before anything else, whether a request may be served at all: its route and its caller.
#pragma once

#include <optional>
#include <string>

#include "gateway/header_dialect.h"
#include "net/http.h"
#include "routing/configuration.h"

namespace stoathold {

/// Who sent a request, as far as later steps need it.
struct Caller {
  std::string key;                        ///< As sent; a secret, only to be checked again.
  std::string tenant;                     ///< Empty: anonymous.
  std::optional<std::uint32_t> priority;  ///< Of the tenant; goes before the route's.
};

/// The decision on one request.
struct CallerCheck {
  int status = 0;                  ///< 0: it may be served; else the status of the refusal.
  const char* reason = "";         ///< Of the refusal, for the answer, logs and metrics.
  const Route* route = nullptr;    ///< Valid as long as the configuration.
  const Tenant* tenant = nullptr;  ///< Null: anonymous. Valid as long as the configuration.
  Caller caller;

  [[nodiscard]] bool allowed() const { return status == 0; }
};

/// Finds the route and the tenant of a request. An unknown key is refused with 401 before anything
/// is said about routes; a route that is not there with 404.
CallerCheck check_caller(const ServingConfiguration& configuration, const HeaderDialect& dialect,
                         const HttpExchange& exchange);

/// Whether a caller that was allowed before may still use a route under a newer configuration. A
/// route that is gone says nothing about its callers: requests that it admitted are served.
bool is_still_allowed(const ServingConfiguration& configuration, const Route& route,
                      const Caller& caller);

}  // namespace stoathold
