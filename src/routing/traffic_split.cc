#include "routing/traffic_split.h"

#include <algorithm>

#include "base/random.h"

namespace stoathold {
namespace {

template <typename Shares>
bool has_same_weights(const Shares& shares, const std::vector<WeightedService>& services) {
  return std::equal(shares.begin(), shares.end(), services.begin(), services.end(),
                    [](const auto& share, const WeightedService& service) {
                      return share.service == service.service && share.weight == service.weight;
                    });
}

}  // namespace

const std::string& TrafficSplit::next_service(const Route& route) {
  if (route.services.size() == 1) return route.services.front().service;
  auto& shares = shares_[route.name];
  if (!has_same_weights(shares, route.services)) {
    shares.clear();
    for (const auto& service : route.services) {
      // Random initial credit: otherwise nodes with few requests would all favor the same service.
      const auto start = static_cast<std::int64_t>(process_random().below(service.weight + 1));
      shares.push_back({service.service, service.weight, start});
    }
  }
  std::int64_t total = 0;
  for (auto& share : shares) {
    share.credit += share.weight;
    total += share.weight;
  }
  auto best = std::max_element(
      shares.begin(), shares.end(),
      [](const Share& left, const Share& right) { return left.credit < right.credit; });
  best->credit -= total;
  return best->service;
}

}  // namespace stoathold
