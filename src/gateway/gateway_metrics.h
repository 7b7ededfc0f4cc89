/// @file
/// Counters of the gateway, read by the metrics page.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "store/store_traffic.h"

namespace stoathold {

/// Counts durations into buckets with fixed bounds.
class LatencyHistogram {
 public:
  /// Upper bounds of the buckets in milliseconds; a last one without bound follows.
  static constexpr std::array<double, 12> kBoundsMs{5,   10,  20,  50,   100,  200,
                                                    300, 500, 800, 1200, 2000, 5000};

  void observe(Duration duration);
  [[nodiscard]] const std::array<std::uint64_t, kBoundsMs.size() + 1>& buckets() const {
    return buckets_;
  }
  [[nodiscard]] double sum_seconds() const { return sum_seconds_; }

 private:
  std::array<std::uint64_t, kBoundsMs.size() + 1> buckets_{};
  double sum_seconds_ = 0;
};

/// Counters of one process since its start. Used on one thread.
struct GatewayMetrics {
  std::map<std::pair<std::string, std::string>, std::uint64_t> requests;  ///< Route kind, outcome.
  std::map<std::string, std::uint64_t> attempts;                          ///< By outcome.
  std::map<std::string, std::uint64_t> refusals;                          ///< By reason.
  std::map<std::string, std::uint64_t> store_calls;                       ///< By outcome.
  std::map<std::string, std::uint64_t> batch_items;                       ///< By outcome of a run.
  /// Entries of the runner directory that named no runner, by reason.
  std::map<std::string, std::uint64_t> refused_runner_entries;
  /// Requests by tenant and by whether they were admitted; a bounded number of tenants.
  std::map<std::pair<std::string, std::string>, std::uint64_t> tenant_requests;
  /// What was done since room for callers was short, by kind.
  std::map<std::string, std::uint64_t> shortages;
  std::uint64_t cut_off_bytes = 0;  ///< Held for callers that were cut off.
  std::uint64_t resumes = 0;
  std::uint64_t requests_open = 0;
  LatencyHistogram first_event;    ///< From a request's arrival to the first byte of its answer.
  LatencyHistogram store_latency;  ///< Of calls to the store that do not wait for records.
  StoreTraffic store_traffic;      ///< By call and topic.
  LatencyHistogram event_gap;      ///< Between two pieces of a stream.
  /// From the sending of an online request to its first event, as predicted when its runner was
  /// chosen and as it came; empty unless runners are chosen by predicted times.
  LatencyHistogram first_event_expected;
  LatencyHistogram first_event_observed;

  /// Counts a call to the store.
  void count_store_call(const StoreCall& call);
  /// Counts a request of a tenant. Once there are many tenants, further ones count together, so
  /// that the metrics page stays bounded.
  void count_tenant_request(const std::string& tenant, const std::string& decision);
};

}  // namespace stoathold
