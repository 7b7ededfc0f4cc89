#include "tenancy/tenant_gossip.h"

namespace stoathold {
namespace {

/// Counters that changed within this time are repeated in each message: some may be lost.
constexpr Duration kRepeated = std::chrono::milliseconds(250);
/// The same for the reports that go out once a second.
constexpr Duration kRepeatedThoroughly = std::chrono::seconds(6);
/// Most counters in a digest, which must stay below the size of a datagram beside the loads.
constexpr std::size_t kMostInDigest = 24;
/// Most counters in a report to another zone: 60 of 20 bytes fit into a datagram.
constexpr std::size_t kMostInZoneReport = 48;
/// A node of the zone is reported as alive if it was heard within this time: four digests.
constexpr Duration kAlive = std::chrono::milliseconds(250);
/// A node that left is named for so long: in ten reports, of which some are lost.
constexpr Duration kLeaveRepeated = std::chrono::seconds(1);
/// Most live nodes in a report to another zone.
constexpr std::size_t kMostNodes = 40;

}  // namespace

std::vector<TenantUsage> TenantGossip::make_report(bool thorough, TimePoint now) const {
  if (!needed()) return {};
  return limits_.own_changes(thorough ? kRepeatedThoroughly : kRepeated, kMostInDigest, now);
}

void TenantGossip::take_report(std::uint64_t node, const std::vector<TenantUsage>& uses,
                               TimePoint now) {
  zone_nodes_[node] = now;
  zone_left_.erase(node);
  for (const auto& usage : uses) limits_.take_usage(node, usage, now);
  limits_.node_heard(node, now);
}

bool TenantGossip::take_leave(std::uint64_t node, const std::vector<TenantUsage>& uses,
                              TimePoint now) {
  const bool news = !zone_left_.contains(node);
  zone_nodes_.erase(node);
  zone_left_[node] = now;
  if (!news) return false;
  // What it admitted last comes with the news, and counts.
  for (const auto& usage : uses) limits_.take_usage(node, usage, now);
  return limits_.node_left(node, now);
}

ZoneTenantUsage TenantGossip::make_zone_report(TimePoint now) const {
  ZoneTenantUsage report;
  report.zone = zone_;
  report.pass_on = true;
  (leaving_ ? report.left : report.nodes).push_back(node_);
  for (const auto& [node, said] : zone_left_) {
    if (now - said <= kLeaveRepeated && report.left.size() < kMostNodes)
      report.left.push_back(node);
  }
  for (const auto& [node, heard] : zone_nodes_) {
    if (now - heard <= kAlive && report.nodes.size() < kMostNodes) report.nodes.push_back(node);
  }
  for (const auto& usage : limits_.own_changes(kRepeated, kMostInDigest, now)) {
    report.uses.push_back({node_, usage});
  }
  const auto others = limits_.changes_of(report.nodes, kRepeated, kMostInZoneReport, now);
  report.uses.insert(report.uses.end(), others.begin(), others.end());
  return report;
}

void TenantGossip::take_zone_report(const ZoneTenantUsage& report, TimePoint now) {
  if (report.zone == zone_) return;
  for (const auto& use : report.uses) {
    if (use.node != node_) limits_.take_usage(use.node, use.usage, now);
  }
  for (const std::uint64_t node : report.nodes) limits_.node_reported(node, now);
  for (const std::uint64_t node : report.left) limits_.node_left(node, now);
}

void TenantGossip::check_silence(TimePoint now) {
  constexpr Duration kForgotten = std::chrono::seconds(20);
  std::erase_if(zone_nodes_, [&](const auto& entry) { return now - entry.second > kForgotten; });
  std::erase_if(zone_left_, [&](const auto& entry) { return now - entry.second > kForgotten; });
  limits_.check_silence(now);
}

}  // namespace stoathold
