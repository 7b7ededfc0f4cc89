/// @file
/// Admission of online work at this node: joins the decisions of `src/admission` to the placement
/// queue, to the digests of the zone and to the metrics.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission_control.h"
#include "admission/load_policy.h"
#include "admission/return_times.h"
#include "admission/returning_callers.h"
#include "admission/slot_times.h"
#include "admission/zone_backlog.h"
#include "gateway/gateway_metrics.h"
#include "quarantine/request_content.h"
#include "routing/load_messages.h"
#include "routing/placement_queue.h"
#include "routing/runner_registry.h"

namespace stoathold {

/// What a rejection was decided from, for its log line.
struct RejectionInputs {
  WaitForecast forecast;
  ServiceFigures figures;
  SlotRoom room;
  double arrivals_per_second = 0;
};

/// State of one process; the policy, registry and queue outlive it. Used on one thread.
class OnlineAdmission {
 public:
  /// @param zone of this node.
  OnlineAdmission(const LoadPolicy& policy, const RunnerRegistry& registry,
                  PlacementQueue& placement, std::string zone);

  /// Whether waits are predicted and requests rejected by them.
  [[nodiscard]] bool active() const { return policy_.predicts_waits; }
  /// Whether some caller was told to come back, so that a request's content matters.
  [[nodiscard]] bool expects_returns() const { return active() && !returning_.empty(); }
  /// A request for a service has come.
  /// @param content nothing: nobody is expected.
  AdmissionStanding arrived(const std::string& service, const std::string& tenant,
                            std::uint32_t priority, std::optional<ContentHash> content);
  /// A request has given its slot back.
  struct SlotUse {
    std::string service;
    std::string route;
    std::uint32_t priority = 0;
    Duration held{0};
    bool whole = false;  ///< It was served to its end, so that it tells what its route takes.
  };
  void freed(const SlotUse& use);
  /// Returns for how long requests of a route hold a slot; 0: unknown.
  [[nodiscard]] Duration slot_time(const std::string& route) const {
    return slot_times_.expected(route);
  }
  /// A rejected caller is told to come back.
  void told(ContentHash content, const std::string& service, const std::string& tenant,
            const PlacementRejection& rejection);
  /// A request got its slot after a wait.
  void waited(Duration wait) { counters_.observed_wait.observe(wait); }
  /// Predicts a request's wait; nothing: a figure is missing.
  [[nodiscard]] std::optional<RejectionInputs> inputs_of(const PlacementRequest& request,
                                                         const QueuePosition& position,
                                                         TimePoint now);

  /// Adds this node's reports to a digest.
  void add_reports(LoadDigest& digest, TimePoint now);
  /// Takes those of another node of the zone.
  void take_reports(const LoadDigest& digest, TimePoint now);

  /// Counts by what was done: told, came, or the reason of a rejection.
  using TenantSteps = std::map<std::string_view, std::uint64_t>;
  /// Counters for the metrics page.
  struct Counters {
    std::uint64_t told = 0;      ///< Callers that were told to come back.
    std::uint64_t promised = 0;  ///< Those for which a slot is expected then.
    std::uint64_t came = 0;      ///< Those of any node of the zone that came to this one.
    std::uint64_t rejected_beside_batch = 0;     ///< While batch held a slot of the zone.
    std::uint64_t of_batch_when_rejected = 0;    ///< Sum of the slots that it held then.
    std::map<std::string, TenantSteps> tenants;  ///< Bounded; those beyond share a row.
    LatencyHistogram observed_wait;
    LatencyHistogram predicted_wait;  ///< Of those that found no slot when they came.
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] std::size_t expected_returns() const { return returning_.size(); }
  /// Returns a page of who waits for each service now, in the queue's order, and why.
  [[nodiscard]] std::string waiting_page();

 private:
  std::optional<PlacementRejection> review(const PlacementRequest& request,
                                           const QueuePosition& position, TimePoint now);
  [[nodiscard]] std::optional<ReturnTime> return_time(const PlacementRequest& request,
                                                      const RejectionInputs& inputs, TimePoint now);
  /// Returns how many callers with a promise are expected from a moment ago until then.
  [[nodiscard]] std::uint32_t expected_within(const std::string& service, Duration ahead,
                                              TimePoint now) const;
  TenantSteps& tenant_row(const std::string& tenant);
  [[nodiscard]] SlotRoom room_of(const std::string& service, TimePoint now);
  [[nodiscard]] SlotRoom count_room(const std::string& service, TimePoint now) const;

  const LoadPolicy& policy_;
  const RunnerRegistry& registry_;
  PlacementQueue& placement_;
  std::string zone_;
  ZoneBacklog backlog_;
  SlotTimes slot_times_;
  ReturningCallers returning_;
  Counters counters_;
  struct CountedRoom {
    SlotRoom room;
    TimePoint counted{};
  };
  std::map<std::string, CountedRoom> rooms_;  ///< By service, for a moment.
};

}  // namespace stoathold
