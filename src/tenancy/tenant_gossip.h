/// @file
/// Exchanges the usage counters of tenants between nodes.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "tenancy/tenant_rate_limiter.h"
#include "tenancy/tenant_usage.h"

namespace stoathold {

/// Creates and applies the reports carried by the messages between nodes. Inside a zone each node
/// reports its own counters with each digest. Between zones, one node reports the counters of all
/// nodes of its zone, so that traffic between zones does not grow with the square of the number of
/// nodes. Used on one thread. The limiter must outlive it.
class TenantGossip {
 public:
  /// @param node id of this node in messages.
  /// @param zone hash of this node's zone name.
  TenantGossip(TenantRateLimiter& limits, std::uint64_t node, std::uint64_t zone)
      : limits_(limits), node_(node), zone_(zone) {}

  /// Returns this node's counters for a digest: those that changed recently or, in a full report,
  /// those of the last seconds, which makes up for lost messages.
  [[nodiscard]] std::vector<TenantUsage> make_report(bool full, TimePoint now) const;
  /// Applies a digest from a node of the own zone.
  void apply_report(std::uint64_t node, const std::vector<TenantUsage>& usages, TimePoint now);

  /// Applies the last counters of a node of the own zone that leaves as planned.
  /// @return whether the leave was not known before.
  bool apply_leave(std::uint64_t node, const std::vector<TenantUsage>& usages, TimePoint now);
  /// Marks this node as leaving as planned; it admits nothing from now on.
  void leave() { leaving_ = true; }
  [[nodiscard]] bool leaving() const { return leaving_; }

  /// Returns the report for other zones.
  [[nodiscard]] ZoneTenantUsage make_zone_report(TimePoint now) const;
  /// Applies a report from another zone.
  void apply_zone_report(const ZoneTenantUsage& report, TimePoint now);

  /// Updates the set of silent nodes; called every `kTenantReportInterval`.
  void update_silent_nodes(TimePoint now);
  /// Returns whether any tenant has a limit, so that reports are needed.
  [[nodiscard]] bool needed() const { return limits_.has_limits(); }

 private:
  TenantRateLimiter& limits_;
  std::uint64_t node_;
  std::uint64_t zone_;
  /// Nodes of the own zone and when they were last heard from.
  std::map<std::uint64_t, TimePoint> zone_nodes_;
  /// Departed nodes and when they last reported their leave.
  std::map<std::uint64_t, TimePoint> departed_zone_nodes_;
  bool leaving_ = false;
};

/// Interval of the tenant reports to other zones, and of those inside the zone while there is no
/// other traffic. Requests of a flood that are admitted within one interval exceed the limit once.
/// At 600 requests per second, 8 times the normal rate of the largest tenant in the one deployment
/// with limits, these are 60 requests.
inline constexpr Duration kTenantReportInterval = std::chrono::milliseconds(100);

}  // namespace stoathold
