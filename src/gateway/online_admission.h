/// @file
/// Admission control for online requests at this node: connects the policies of `src/admission` to
/// the placement queue, to the digests exchanged within the zone and to the metrics.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission_control.h"
#include "admission/load_policy.h"
#include "admission/retry_bookings.h"
#include "admission/retry_times.h"
#include "admission/slot_time_estimator.h"
#include "admission/zone_backlog.h"
#include "gateway/gateway_metrics.h"
#include "quarantine/request_content.h"
#include "routing/load_messages.h"
#include "routing/placement_queue.h"
#include "routing/runner_registry.h"

namespace stoathold {

/// Inputs of a rejection decision, kept for its log event.
struct RejectionInputs {
  WaitForecast forecast;
  ServiceStatistics figures;
  SlotCapacity capacity;
  double arrivals_per_second = 0;
};

/// Predicts how long online requests wait for a slot, rejects those that cannot be served in time,
/// and remembers which rejected callers are expected to retry. One instance per process. The
/// policy, registry and queue must outlive it. Not thread-safe.
class OnlineAdmission {
 public:
  /// @param zone the zone of this node.
  OnlineAdmission(const LoadPolicy& policy, const RunnerRegistry& registry,
                  PlacementQueue& placement, std::string zone);

  /// Returns whether waits are predicted and requests rejected on the basis of the predictions.
  [[nodiscard]] bool active() const { return policy_.predicts_wait_times; }
  /// Returns whether any caller is expected to retry; only then is the content hash of a request
  /// needed to recognize it.
  [[nodiscard]] bool expects_retries() const { return active() && !retry_bookings_.empty(); }
  /// Records the arrival of a request and returns whether it is new or an expected retry.
  /// @param content hash of the request's content; `nullopt` if no retries are expected.
  AdmissionClass classify_arrival(const std::string& service, const std::string& tenant,
                                  std::uint32_t priority, std::optional<ContentHash> content);
  /// The release of a slot by a request.
  struct SlotRelease {
    std::string service;
    std::string route;
    std::uint32_t priority = 0;
    Duration hold_time{0};
    /// Whether the request was served to the end; only then is `hold_time` a sample for its route.
    bool completed = false;
  };
  /// Records the release and, if the request completed, its hold time.
  void record_slot_release(const SlotRelease& release);
  /// Returns the expected time for which requests of a route hold a slot; 0 if unknown.
  [[nodiscard]] Duration slot_time(const std::string& route) const {
    return slot_times_.expected(route);
  }
  /// Records that a rejected caller was sent a time to retry, and expects its retry if a slot was
  /// promised for that time.
  void record_retry_advice(ContentHash content, const std::string& service,
                           const std::string& tenant, const PlacementRejection& rejection);
  /// Records how long a request waited before it got a slot.
  void record_wait(Duration wait) { counters_.observed_wait.observe(wait); }
  /// Predicts a request's wait; returns `nullopt` if an input of the prediction is unknown.
  [[nodiscard]] std::optional<RejectionInputs> rejection_inputs(const PlacementRequest& request,
                                                                const QueuePosition& position,
                                                                TimePoint now);

  /// Adds this node's backlog and expected retries to a digest.
  void add_reports(LoadDigest& digest, TimePoint now);
  /// Applies the backlog and expected retries reported by another node of the zone.
  void apply_reports(const LoadDigest& digest, TimePoint now);

  /// Counts by step: "told" (sent a time to retry), "came" (retried), or the reason of a rejection.
  using TenantStepCounts = std::map<std::string_view, std::uint64_t>;
  /// Counters for the metrics page.
  struct Counters {
    std::uint64_t retry_advised = 0;  ///< Rejected callers that were sent a time to retry.
    std::uint64_t promised = 0;       ///< Those of them that were promised a slot at that time.
    std::uint64_t retried = 0;  ///< Expected retries, of any node of the zone, that came here.
    /// Rejections while batch held slots in the zone.
    std::uint64_t rejections_with_batch_slots = 0;
    /// Sum of the slots that batch held at these rejections.
    std::uint64_t batch_slots_at_rejections = 0;
    std::map<std::string, TenantStepCounts> tenants;  ///< Tenants beyond a bound share a row.
    LatencyHistogram observed_wait;
    LatencyHistogram predicted_wait;  ///< Of requests that found no free slot on arrival.
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] std::size_t expected_retries() const { return retry_bookings_.size(); }
  /// Returns a plain-text listing of the requests that wait for each service, in queue order, with
  /// the inputs of their predicted waits.
  [[nodiscard]] std::string render_waiting_requests();

 private:
  std::optional<PlacementRejection> review(const PlacementRequest& request,
                                           const QueuePosition& position, TimePoint now);
  [[nodiscard]] std::optional<RetryTime> retry_time_for(const PlacementRequest& request,
                                                        const RejectionInputs& inputs,
                                                        TimePoint now);
  /// Returns how many callers that were promised a slot are expected to retry between one booking
  /// bin ago and `ahead` from now.
  [[nodiscard]] std::uint32_t expected_retries_within(const std::string& service, Duration ahead,
                                                      TimePoint now) const;
  TenantStepCounts& tenant_counts(const std::string& tenant);
  [[nodiscard]] SlotCapacity slot_capacity(const std::string& service, TimePoint now);
  [[nodiscard]] SlotCapacity count_slot_capacity(const std::string& service, TimePoint now) const;

  const LoadPolicy& policy_;
  const RunnerRegistry& registry_;
  PlacementQueue& placement_;
  std::string zone_;
  ZoneBacklog backlog_;
  SlotTimeEstimator slot_times_;
  RetryBookings retry_bookings_;
  Counters counters_;
  struct CachedCapacity {
    SlotCapacity capacity;
    TimePoint counted_at{};
  };
  std::map<std::string, CachedCapacity>
      capacity_cache_;  ///< By service; entries expire after a few ms.
};

}  // namespace stoathold
