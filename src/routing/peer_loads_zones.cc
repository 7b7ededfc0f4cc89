// What nodes report to those of other zones, and to one another of runners that ended.
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "base/event_log.h"
#include "routing/peer_loads.h"

namespace stoathold {
namespace {

/// Runners of a zone that one message reports on.
constexpr std::size_t kMaxZoneLoads = 150;
constexpr double kPercent = 100;
constexpr double kMostPercent = 255;
/// Ends within this time are reported together: those of one runner come one after the other.
constexpr Duration kEndsCoalesce = std::chrono::milliseconds(5);

}  // namespace

void PeerLoads::send_to_zone(const std::string& bytes) {
  zone_nodes_.for_each([&](const Endpoint& peer) { send_to(peer, bytes); });
}

void PeerLoads::send_to_other_zones(const std::string& bytes, std::size_t turn) {
  for (const auto& [zone, peers] : remote_zones_) send_to(peers[turn % peers.size()], bytes);
}

/// Loads of another zone's runners, reported by a node there.
void PeerLoads::take_zone_loads(ZoneLoads loads) {
  if (loads.zone == stable_hash(zone_)) return;
  const TimePoint now = monotonic_now();
  for (const auto& reported : loads.loads) {
    Runner* runner = registry_.find_hash(reported.runner);
    if (runner != nullptr) runner->take_zone_load(reported.percent / kPercent, now);
  }
  if (loads.pass_on) pass_on(std::move(loads));
  if (listener_) listener_();
}

/// Reports to a node of each zone whose runners this node uses, and once the end of that. Each time
/// another node, so that one that is gone costs one message.
void PeerLoads::report_remote_use() {
  const TimePoint now = monotonic_now();
  std::set<std::string> used;
  for (const auto& [id, runner] : registry_.all()) {
    if (use_to_report(*runner, false, now) > 0) used.insert(runner->record().zone);
  }
  for (const auto& [zone, peers] : remote_zones_) {
    const bool uses = used.contains(zone);
    if (!uses && !reported_zones_.contains(zone)) continue;
    LoadDigest digest = make_digest(zone);
    digest.origin = address();
    digest.pass_on = true;
    send_to(peers[remote_turn_ % peers.size()], encode_message(digest));
  }
  ++remote_turn_;
  reported_zones_ = std::move(used);
}

/// Other zones send work here when theirs is full: what they know of the runners here keeps them
/// from filling these as well.
void PeerLoads::send_zone_loads() {
  const TimePoint now = monotonic_now();
  if (remote_zones_.empty() || !zone_nodes_.is_zone_reporter(socket_.local_endpoint(), now)) return;
  ZoneLoads message;
  message.zone = stable_hash(zone_);
  message.pass_on = true;
  for (const auto& [id, runner] : registry_.all()) {
    if (runner->record().zone != zone_ || !runner->available()) continue;
    const bool usable = !runner->ejected(now);
    const double percent = usable ? runner->load(now) * kPercent : kMostPercent;
    message.loads.push_back(
        {runner->hash(), static_cast<std::uint8_t>(std::min(percent, kMostPercent))});
    if (message.loads.size() >= kMaxZoneLoads) break;
  }
  const std::string bytes = encode_message(message);
  send_to_other_zones(bytes, remote_turn_);
}

/// Reports to the other zones what this zone's nodes admitted for tenants. Two nodes of a zone do,
/// to different nodes, so that one lost message or one lost node costs nothing.
void PeerLoads::send_tenant_usage() {
  const TimePoint now = monotonic_now();
  if (remote_zones_.empty() || !zone_nodes_.is_zone_reporter(socket_.local_endpoint(), now)) return;
  const std::string bytes = encode_message(tenant_gossip_->make_zone_report(now));
  send_to_other_zones(bytes, tenant_turn_);
  tenant_turn_ += 1 + sender_ % 2;
}

void PeerLoads::take_tenants(const LoadDigest& digest, TimePoint now) {
  if (!tenant_gossip_) return;
  if (!digest.leaving) {
    tenant_gossip_->take_report(digest.sender, digest.tenants, now);
  } else if (tenant_gossip_->take_leave(digest.sender, digest.tenants, now)) {
    log_event(Event::kLimitShareGivenBack, {{"sender", to_hex(digest.sender)}});
  }
}

void PeerLoads::leave() {
  /// One may be lost; should all be, the others take this node for silent.
  constexpr int kRepeats = 3;
  if (std::exchange(leaving_, true)) return;
  if (tenant_gossip_) tenant_gossip_->leave();
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    send();
    if (!tenant_gossip_ || !tenant_gossip_->needed()) continue;
    const std::string bytes = encode_message(tenant_gossip_->make_zone_report(monotonic_now()));
    send_to_other_zones(bytes, tenant_turn_++);
  }
}

void PeerLoads::share_runner_ends(Quarantine& quarantine) {
  quarantine_ = &quarantine;
  quarantine.set_report_listener([this] { schedule_end_reports(); });
}

void PeerLoads::take_end_reports(EndReports reports) {
  if (quarantine_ == nullptr) return;
  quarantine_->take_reports(reports.reports, monotonic_now());
  if (reports.pass_on) pass_on(std::move(reports));
}

void PeerLoads::schedule_end_reports() {
  if (ends_scheduled_) return;
  ends_scheduled_ = true;
  ends_timer_.expires_after(kEndsCoalesce);
  ends_timer_.async_wait([this](boost::system::error_code error) {
    ends_scheduled_ = false;
    if (error) return;
    send_end_reports();
    send_remote_end_reports();
  });
}

void PeerLoads::send_end_reports() {
  if (quarantine_ == nullptr || zone_nodes_.empty()) return;
  const EndReports message{.reports = quarantine_->take_zone_reports(monotonic_now())};
  if (message.reports.empty()) return;
  const std::string bytes = encode_message(message);
  send_to_zone(bytes);
}

/// Sent again by the timer of the other reports, since messages get lost; to another node of each
/// zone, so that one that is gone or one lost message costs nothing.
void PeerLoads::send_remote_end_reports() {
  if (quarantine_ == nullptr || remote_zones_.empty()) return;
  const EndReports message{.reports = quarantine_->take_remote_reports(monotonic_now()),
                           .pass_on = true};
  if (message.reports.empty()) return;
  const std::string bytes = encode_message(message);
  send_to_other_zones(bytes, remote_turn_);
  ++remote_turn_;
}

}  // namespace stoathold
