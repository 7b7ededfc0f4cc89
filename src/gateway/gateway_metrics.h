/// @file
/// Counters of the gateway for the metrics page.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "store/store_traffic.h"

namespace stoathold {

/// Histogram of durations with fixed bucket bounds.
class LatencyHistogram {
 public:
  /// Upper bounds of the buckets in milliseconds; an unbounded bucket follows.
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

/// Counters of one process since its start. Not thread-safe.
struct GatewayMetrics {
  std::map<std::pair<std::string, std::string>, std::uint64_t> requests;  ///< Route kind, outcome.
  std::map<std::string, std::uint64_t> attempts;                          ///< By outcome.
  std::map<std::string, std::uint64_t> refusals;                          ///< By reason.
  std::map<std::string, std::uint64_t> store_calls;                       ///< By outcome.
  std::map<std::string, std::uint64_t> batch_items;  ///< By outcome of an attempt.
  /// Invalid entries of the runner directory, by reason.
  std::map<std::string, std::uint64_t> refused_runner_entries;
  /// Requests by tenant and admission decision, for a bounded number of tenants.
  std::map<std::pair<std::string, std::string>, std::uint64_t> tenant_requests;
  /// Actions taken because memory or connections for callers were short, by kind.
  std::map<std::string, std::uint64_t> shortages;
  std::uint64_t cut_off_bytes = 0;  ///< Buffered for callers that were disconnected.
  std::uint64_t resumes = 0;
  /// Streams taken up by callers, by how their origin was known or why they were refused.
  std::map<std::string, std::uint64_t> resumptions;
  std::uint64_t requests_open = 0;
  LatencyHistogram first_event;    ///< From a request's arrival to the first byte of its response.
  LatencyHistogram store_latency;  ///< Of calls to the store that do not wait for records.
  StoreTraffic store_traffic;      ///< By call and topic.
  LatencyHistogram event_gap;      ///< Between two writes of events to the caller of a stream.
  /// Time from sending an online request to its first event, as predicted when its runner was
  /// selected and as observed; empty unless runners are selected by predicted times.
  LatencyHistogram first_event_expected;
  LatencyHistogram first_event_observed;

  /// Counts a call to the store.
  void count_store_call(const StoreCall& call);
  /// Counts a request of a tenant. Tenants beyond a bound are counted together, which bounds the
  /// size of the metrics page.
  void count_tenant_request(const std::string& tenant, const std::string& decision);
};

}  // namespace stoathold
