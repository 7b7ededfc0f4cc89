/// @file
/// The configuration that operators publish: routes, services, tenants and limits of the client
/// API.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "net/http.h"
#include "tenancy/tenant_directory.h"

namespace stoathold {

/// Retry semantics of a route's requests and the type of their responses.
enum class RouteKind : std::uint8_t {
  kSafe,       ///< Idempotent: may run more than once.
  kUnsafe,     ///< Runs at most once.
  kStreaming,  ///< Responses are event streams; retried only if resumable.
  kBatch,      ///< Accepts batch jobs, whose items run later.
};

/// A service that receives a weighted share of a route's requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

/// Maps requests to services, with their objectives and limits.
struct Route {
  std::string name;
  std::string host;         ///< In lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kSafe;
  std::vector<WeightedService> services;
  Duration timeout{0};              ///< Maximum time for which a request is kept; 0: no limit.
  Duration latency_objective{0};    ///< Latency within which a response is in time.
  Duration event_gap_objective{0};  ///< Maximum gap between events that is in time; 0: no limit.
  std::uint32_t max_attempts =
      1;  ///< Maximum number of runners that may run a request, or of failed runs of an item.
  std::uint32_t priority = 0;  ///< 0 is the highest priority.
  bool prefix_affinity =
      false;  ///< Requests with a common prompt prefix benefit from the same runner.
  bool anonymous_access = false;     ///< Callers need no API key.
  bool resumable = false;            ///< An interrupted stream may continue at another runner.
  Duration completion_objective{0};  ///< Batch: time from submission until all results are due.
  Duration item_retention{
      0};  ///< Batch: items may be abandoned this long after submission; 0: never.
  std::uint64_t max_queued_tokens = 0;  ///< Batch: maximum number of waiting tokens; 0: no limit.

  /// Whether a request may be retried after an attempt with an unknown outcome.
  [[nodiscard]] bool repeatable() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStreaming && resumable);
  }
};

/// A group of interchangeable runners.
struct Service {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< Per runner, over all clients; 0: no limit.
  std::uint32_t slots = 0;  ///< Requests that a runner processes concurrently; 0: unknown.
};

/// A complete version of the configuration. Immutable once published.
struct ServingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  HttpLimits limits;
  TenantDirectory tenants;

  /// Returns the route of a request: the one with the longest matching prefix among the host's
  /// routes.
  /// @return null if there is none; valid as long as the configuration.
  [[nodiscard]] const Route* find_route(const std::string& host, std::string_view path) const;
};

/// Converts the value of a `Host` header to the form of `Route::host`.
std::string normalize_host(std::string_view host);

}  // namespace stoathold
