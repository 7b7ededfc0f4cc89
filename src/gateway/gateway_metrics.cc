#include "gateway/gateway_metrics.h"

namespace stoathold {

void LatencyHistogram::observe(Duration duration) {
  const double milliseconds = to_seconds(duration) * 1000;
  std::size_t bucket = 0;
  while (bucket < kBoundsMs.size() && milliseconds > kBoundsMs[bucket]) ++bucket;
  ++buckets_[bucket];
  sum_seconds_ += to_seconds(duration);
}

void GatewayMetrics::count_store_call(const StoreCall& call) {
  ++store_calls[call.call + ":" + std::string(to_string(call.status))];
  if (call.call != "read") store_latency.observe(call.duration);
  store_traffic.add(call);
}

void GatewayMetrics::count_tenant_request(const std::string& tenant, const std::string& decision) {
  // Bounds the metrics page to some hundred lines for tenants.
  constexpr std::size_t kMaxRows = 200;
  const auto row = std::pair(tenant, decision);
  const bool has_row = tenant_requests.size() < kMaxRows || tenant_requests.contains(row);
  ++tenant_requests[has_row ? row : std::pair(std::string("other"), decision)];
}

}  // namespace stoathold
