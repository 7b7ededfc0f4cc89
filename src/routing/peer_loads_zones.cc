// Reports to nodes of other zones.
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "base/event_log.h"
#include "routing/peer_loads.h"

namespace stoathold {
namespace {

/// Maximum number of runners in one message about a zone's loads.
constexpr std::size_t kMaxZoneLoads = 150;
constexpr double kPercent = 100;
constexpr double kMaxPercent = 255;

/// Other zones send requests here only to runners whose load they know, so the runners with most
/// room are reported.
void keep_least_loaded(std::vector<ZoneRunnerLoad>& loads) {
  if (loads.size() <= kMaxZoneLoads) return;
  std::stable_sort(loads.begin(), loads.end(),
                   [](const ZoneRunnerLoad& left, const ZoneRunnerLoad& right) {
                     return left.percent < right.percent;
                   });
  loads.resize(kMaxZoneLoads);
}

}  // namespace

void PeerLoads::send_to_zone(const Datagram& datagram) {
  zone_nodes_.for_each([&](const Endpoint& peer) { send_to(peer, datagram); });
}

void PeerLoads::send_to_other_zones(const Datagram& datagram, std::size_t rotation) {
  for (const auto& [zone, peers] : remote_zones_) send_to(peers[rotation % peers.size()], datagram);
}

/// Applies the loads of another zone's runners, as reported by a node there.
void PeerLoads::handle_zone_loads(ZoneLoads loads) {
  if (loads.zone == stable_hash(zone_)) return;
  const TimePoint now = monotonic_now();
  for (const auto& reported : loads.loads) {
    Runner* runner = registry_.find_by_hash(reported.runner);
    if (runner != nullptr) runner->apply_zone_load(reported.percent / kPercent, now);
  }
  if (loads.forward) forward_in_zone(std::move(loads));
  if (change_listener_) change_listener_();
}

/// Reports this node's use to one node of each zone whose runners it uses, and one final time after
/// the use has ended. The receiver changes with each report, so that a node that is down costs only
/// one message.
void PeerLoads::report_remote_use() {
  const TimePoint now = monotonic_now();
  std::set<std::string> used;
  for (const Runner* runner : registry_.active()) {
    if (reported_in_flight(*runner, false, now) > 0) used.insert(runner->record().zone);
  }
  for (const auto& [zone, peers] : remote_zones_) {
    const bool uses = used.contains(zone);
    if (!uses && !reported_zones_.contains(zone)) continue;
    LoadDigest digest = make_digest(zone);
    digest.origin = address();
    digest.forward = true;
    send_to(peers[remote_rotation_ % peers.size()], make_datagram(digest));
  }
  ++remote_rotation_;
  reported_zones_ = std::move(used);
}

/// Reports the loads of this zone's runners to the other zones. They send requests here when their
/// own runners are full, and the reports keep them from overloading the runners here as well.
void PeerLoads::send_zone_loads() {
  const TimePoint now = monotonic_now();
  if (remote_zones_.empty() || !zone_nodes_.is_zone_reporter(socket_.local_endpoint(), now)) return;
  ZoneLoads message;
  message.zone = stable_hash(zone_);
  message.forward = true;
  for (const auto& runner : registry_.in_zone(zone_)) {
    if (!runner->available()) continue;
    const bool usable = !runner->ejected(now);
    const double percent = usable ? runner->load(now) * kPercent : kMaxPercent;
    message.loads.push_back(
        {runner->hash(), static_cast<std::uint8_t>(std::min(percent, kMaxPercent))});
  }
  keep_least_loaded(message.loads);
  const Datagram datagram = make_datagram(message);
  send_to_other_zones(datagram, remote_rotation_);
}

/// Reports to the other zones what this zone's nodes admitted for tenants. Two nodes of a zone
/// report to different receivers, so that the loss of one message or one node has no effect.
void PeerLoads::send_tenant_usage() {
  const TimePoint now = monotonic_now();
  if (remote_zones_.empty() || !zone_nodes_.is_zone_reporter(socket_.local_endpoint(), now)) return;
  const Datagram datagram = make_datagram(tenant_gossip_->make_zone_report(now));
  send_to_other_zones(datagram, tenant_rotation_);
  tenant_rotation_ += 1 + sender_ % 2;
}

void PeerLoads::apply_tenant_reports(const LoadDigest& digest, TimePoint now) {
  if (!tenant_gossip_) return;
  if (!digest.leaving) {
    tenant_gossip_->apply_report(digest.sender, digest.tenants, now);
  } else if (tenant_gossip_->apply_leave(digest.sender, digest.tenants, now)) {
    log_event(Event::kLimitShareGivenBack, {{"sender", to_hex(digest.sender)}});
  }
}

void PeerLoads::leave() {
  /// Compensates for lost messages. If all are lost, the other nodes consider this node silent.
  constexpr int kRepeats = 3;
  if (std::exchange(leaving_, true)) return;
  if (tenant_gossip_) tenant_gossip_->leave();
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    send();
    if (!tenant_gossip_ || !tenant_gossip_->needed()) continue;
    const Datagram datagram = make_datagram(tenant_gossip_->make_zone_report(monotonic_now()));
    send_to_other_zones(datagram, tenant_rotation_++);
  }
}

}  // namespace stoathold
