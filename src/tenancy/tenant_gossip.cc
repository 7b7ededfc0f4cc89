#include "tenancy/tenant_gossip.h"

namespace stoathold {
namespace {

/// Changed counters are repeated in each message for this long, because messages may be lost.
constexpr Duration kRepeatTime = std::chrono::milliseconds(250);
/// The same for the full reports, which are sent once a second.
constexpr Duration kFullReportRepeatTime = std::chrono::seconds(6);
/// Maximum number of counters in a digest, which must fit into a datagram together with the loads.
constexpr std::size_t kMaxInDigest = 24;
/// Maximum number of counters in a report to another zone: 60 counters of 20 bytes fit into a
/// datagram.
constexpr std::size_t kMaxInZoneReport = 48;
/// A node of the zone is reported as alive if it was heard from within this time, which is that of
/// four digests.
constexpr Duration kAliveTimeout = std::chrono::milliseconds(250);
/// A departed node is reported for this long: in ten reports, some of which are lost.
constexpr Duration kLeaveRepeatTime = std::chrono::seconds(1);
/// Maximum number of live nodes in a report to another zone.
constexpr std::size_t kMaxNodes = 40;

}  // namespace

std::vector<TenantUsage> TenantGossip::make_report(bool full, TimePoint now) const {
  if (!needed()) return {};
  return limits_.own_changes(full ? kFullReportRepeatTime : kRepeatTime, kMaxInDigest, now);
}

void TenantGossip::apply_report(std::uint64_t node, const std::vector<TenantUsage>& usages,
                                TimePoint now) {
  zone_nodes_[node] = now;
  departed_zone_nodes_.erase(node);
  for (const auto& usage : usages) limits_.apply_usage(node, usage, now);
  limits_.on_node_heard(node, now);
}

bool TenantGossip::apply_leave(std::uint64_t node, const std::vector<TenantUsage>& usages,
                               TimePoint now) {
  const bool is_new = !departed_zone_nodes_.contains(node);
  zone_nodes_.erase(node);
  departed_zone_nodes_[node] = now;
  if (!is_new) return false;
  // The message carries the node's last admissions, which count as well.
  for (const auto& usage : usages) limits_.apply_usage(node, usage, now);
  return limits_.on_node_left(node, now);
}

ZoneTenantUsage TenantGossip::make_zone_report(TimePoint now) const {
  ZoneTenantUsage report;
  report.zone = zone_;
  report.forward = true;
  (leaving_ ? report.departed : report.nodes).push_back(node_);
  for (const auto& [node, left_at] : departed_zone_nodes_) {
    if (now - left_at <= kLeaveRepeatTime && report.departed.size() < kMaxNodes)
      report.departed.push_back(node);
  }
  for (const auto& [node, last_receive_time] : zone_nodes_) {
    if (now - last_receive_time <= kAliveTimeout && report.nodes.size() < kMaxNodes)
      report.nodes.push_back(node);
  }
  for (const auto& usage : limits_.own_changes(kRepeatTime, kMaxInDigest, now)) {
    report.usages.push_back({node_, usage});
  }
  const auto others = limits_.changes_of(report.nodes, kRepeatTime, kMaxInZoneReport, now);
  report.usages.insert(report.usages.end(), others.begin(), others.end());
  return report;
}

void TenantGossip::apply_zone_report(const ZoneTenantUsage& report, TimePoint now) {
  if (report.zone == zone_) return;
  for (const auto& use : report.usages) {
    if (use.node != node_) limits_.apply_usage(use.node, use.usage, now);
  }
  for (const std::uint64_t node : report.nodes) limits_.on_node_reported(node, now);
  for (const std::uint64_t node : report.departed) limits_.on_node_left(node, now);
}

void TenantGossip::update_silent_nodes(TimePoint now) {
  constexpr Duration kNodeRetention = std::chrono::seconds(20);
  std::erase_if(zone_nodes_,
                [&](const auto& entry) { return now - entry.second > kNodeRetention; });
  std::erase_if(departed_zone_nodes_,
                [&](const auto& entry) { return now - entry.second > kNodeRetention; });
  limits_.update_silent_nodes(now);
}

}  // namespace stoathold
