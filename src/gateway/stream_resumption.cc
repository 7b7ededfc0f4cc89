#include "gateway/stream_resumption.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Number of attempts, each within the route's timeout, over which a stream may extend.
constexpr int kAttemptsPerStream = 3;
/// Timeout of a route that sets none.
constexpr Duration kDefaultTimeout = std::chrono::seconds(60);

}  // namespace

Duration stream_lifetime(const ServingConfiguration& configuration) {
  Duration longest{0};
  for (const Route& route : configuration.routes) {
    if (route.kind != RouteKind::kStreaming) continue;
    longest = std::max(longest, route.timeout.count() > 0 ? route.timeout : kDefaultTimeout);
  }
  return kAttemptsPerStream * longest;
}

const std::string* find_origin_service(const Route& route, const StreamOrigin& origin) {
  for (const WeightedService& candidate : route.services) {
    if (stable_hash(candidate.service) == origin.service) return &candidate.service;
  }
  return nullptr;
}

asio::awaitable<OriginLookup> find_stream_origin(GatewayContext& context, const Route& route,
                                                 std::optional<StreamKey> stream) {
  StreamOrigins& origins = context.origins;
  OriginLookup lookup;
  if (stream) lookup = origins.find_here(*stream);
  if (lookup.knowledge != OriginKnowledge::kUnknown) co_return lookup;
  const bool one_service = route.services.size() == 1;
  const std::string service = route.services.front().service;
  const auto sole = one_service ? origins.sole_version(service) : std::nullopt;
  if (sole) {
    const bool confirmed = co_await context.confirm_runner_list();
    const bool unchanged = origins.sole_version(service) == sole;
    const StreamOrigin origin{stable_hash(service), *sole};
    lookup = {OriginKnowledge::kSoleVersion, origin, {}};
    if (confirmed && unchanged) co_return lookup;
  }
  lookup = {};
  if (!stream) co_return lookup;
  lookup = co_await origins.find(*stream, service);
  if (lookup.knowledge != OriginKnowledge::kSoleVersion) co_return lookup;
  const bool confirmed = co_await context.confirm_runner_list();
  const bool unchanged = origins.agrees_with_history(service, lookup.origin.version);
  const bool certain = one_service && confirmed && unchanged;
  if (!certain) lookup = {};
  co_return lookup;
}

std::string_view to_string(OriginKnowledge knowledge) {
  switch (knowledge) {
    case OriginKnowledge::kRecorded:
      return "recorded";
    case OriginKnowledge::kConflicting:
      return "conflicting";
    case OriginKnowledge::kSoleVersion:
      return "sole_version";
    case OriginKnowledge::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace stoathold
