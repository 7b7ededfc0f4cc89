#include "gateway/gateway_metrics.h"

namespace stoathold {

void LatencyHistogram::observe(Duration duration) {
  const double milliseconds = to_seconds(duration) * 1000;
  std::size_t bucket = 0;
  while (bucket < kBoundsMs.size() && milliseconds > kBoundsMs[bucket]) ++bucket;
  ++buckets_[bucket];
  sum_seconds_ += to_seconds(duration);
}

}  // namespace stoathold
