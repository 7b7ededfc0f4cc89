/// @file
/// What a node says to others about tenants' requests, and what it makes of what they say.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "tenancy/tenant_limits.h"
#include "tenancy/tenant_usage.h"

namespace stoathold {

/// Makes and takes the reports that the messages between nodes carry. Inside a zone each node
/// reports its own counters with each digest. Between zones one node of the zone reports those of
/// all its nodes, so that the bytes between zones do not grow with the square of the nodes. Used on
/// one thread; the limits outlive it.
class TenantGossip {
 public:
  /// @param node own name in messages.
  /// @param zone hash of the own zone's name.
  TenantGossip(TenantLimits& limits, std::uint64_t node, std::uint64_t zone)
      : limits_(limits), node_(node), zone_(zone) {}

  /// Returns the own counters for a digest: those that changed lately, or, now and then, those of
  /// the last seconds, which repairs what was lost.
  [[nodiscard]] std::vector<TenantUsage> make_report(bool thorough, TimePoint now) const;
  /// Takes a digest of a node of the own zone.
  void take_report(std::uint64_t node, const std::vector<TenantUsage>& uses, TimePoint now);

  /// Takes the last digests of a node of the own zone that leaves as planned.
  /// @return whether that is news.
  bool take_leave(std::uint64_t node, const std::vector<TenantUsage>& uses, TimePoint now);
  /// This node leaves as planned, and admits nothing from now on.
  void leave() { leaving_ = true; }
  [[nodiscard]] bool leaving() const { return leaving_; }

  /// Returns the report for another zone.
  [[nodiscard]] ZoneTenantUsage make_zone_report(TimePoint now) const;
  /// Takes the report of another zone.
  void take_zone_report(const ZoneTenantUsage& report, TimePoint now);

  /// Looks which nodes are silent; called every `kTenantReportInterval`.
  void check_silence(TimePoint now);
  /// Whether there is anything to report.
  [[nodiscard]] bool needed() const { return limits_.limited(); }

 private:
  TenantLimits& limits_;
  std::uint64_t node_;
  std::uint64_t zone_;
  std::map<std::uint64_t, TimePoint> zone_nodes_;  ///< Nodes of the own zone, when last heard.
  std::map<std::uint64_t, TimePoint> zone_left_;   ///< Those that left, when they last said so.
  bool leaving_ = false;
};

/// Between two reports of tenants' requests, to other zones and, while nothing else is to be said,
/// inside the own one. What a flood admits in this time goes over the limit once; at 600 requests a
/// second (8 times the largest tenant's usual on the one deployment with limits) that is 60.
inline constexpr Duration kTenantReportInterval = std::chrono::milliseconds(100);

}  // namespace stoathold
