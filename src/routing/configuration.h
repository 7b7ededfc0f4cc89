/// @file
/// The configuration that operators publish: routes, services and limits of the caller interface.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "net/http.h"
#include "tenancy/tenant_directory.h"

namespace stoathold {

/// How requests of a route may be repeated, and what their answers are.
enum class RouteKind : std::uint8_t {
  kSafe,       ///< May run more than once.
  kUnsafe,     ///< Runs at most once.
  kStreaming,  ///< Answers are event streams; repeated only if resumable.
  kBatch,      ///< Takes batch jobs; their items run later.
};

/// A service that gets a share of a route's requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

/// Where requests go and what they may cost.
struct Route {
  std::string name;
  std::string host;         ///< Lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kSafe;
  std::vector<WeightedService> services;
  Duration timeout{0};              ///< Longest time a request may be held; 0: none.
  Duration latency_objective{0};    ///< Within which an answer is in time.
  Duration event_gap_objective{0};  ///< Longest pause between events that is in time; 0: none.
  std::uint32_t max_attempts =
      1;  ///< Most runners that may run one request; most failed runs of an item.
  std::uint32_t priority = 0;        ///< 0 is the most urgent.
  bool prefix_affinity = false;      ///< Requests that share a prompt prefix gain by one runner.
  bool anonymous_access = false;     ///< Callers need no key.
  bool resumable = false;            ///< A broken stream may go on at another runner.
  Duration completion_objective{0};  ///< Batch: all results are due this long after the submission.
  Duration item_retention{0};        ///< Batch: items may be given up this long after it; 0: never.
  std::uint64_t max_queued_tokens = 0;  ///< Batch: most tokens that may wait; 0: no limit.

  /// Whether a request may run again after an attempt whose outcome is unknown.
  [[nodiscard]] bool repeatable() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStreaming && resumable);
  }
};

/// A group of runners that serve the same.
struct Service {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< Of one runner, from all callers together; 0: no limit.
  std::uint32_t slots = 0;            ///< Requests that a runner works on at once; 0: unknown.
};

/// One version of the configuration, whole. Immutable once published.
struct ServingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  HttpLimits limits;
  TenantDirectory tenants;

  /// Returns the route of a request: of those of the host, the one with the longest prefix.
  /// @return null if there is none; valid as long as the configuration.
  [[nodiscard]] const Route* find_route(const std::string& host, std::string_view path) const;
};

/// Brings a `Host` header into the form of `Route::host`.
std::string normalize_host(std::string_view host);

}  // namespace stoathold
