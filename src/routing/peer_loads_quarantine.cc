// Reports of runners that exited, and notices of quarantined requests.
#include "routing/peer_loads.h"

namespace stoathold {
namespace {

/// Exits within this time are reported together: the requests that a runner was serving when it
/// exited fail one after the other.
constexpr Duration kEndReportCoalescingDelay = std::chrono::milliseconds(5);

}  // namespace

void PeerLoads::share_runner_ends(Quarantine& quarantine) {
  quarantine_ = &quarantine;
  quarantine.set_report_listener([this] { schedule_end_reports(); });
}

void PeerLoads::handle_end_reports(RunnerExitReports reports) {
  if (quarantine_ == nullptr) return;
  quarantine_->apply_reports(reports.reports, monotonic_now());
  if (reports.forward) forward_in_zone(std::move(reports));
}

void PeerLoads::handle_quarantine_notices(QuarantineNotices notices) {
  if (quarantine_ == nullptr) return;
  notices.notices = quarantine_->apply_notices(notices.notices, monotonic_now());
  if (notices.forward && !notices.notices.empty()) forward_in_zone(std::move(notices));
}

void PeerLoads::handle_part_reports(PromptPartReports reports) {
  if (quarantine_ == nullptr) return;
  quarantine_->apply_part_reports(reports, monotonic_now());
  if (reports.forward) forward_in_zone(std::move(reports));
}

void PeerLoads::schedule_end_reports() {
  if (end_reports_scheduled_) return;
  end_reports_scheduled_ = true;
  end_reports_timer_.expires_after(kEndReportCoalescingDelay);
  end_reports_timer_.async_wait([this](boost::system::error_code error) {
    end_reports_scheduled_ = false;
    if (!error) send_quarantine_messages();
  });
}

void PeerLoads::send_quarantine_messages() {
  if (quarantine_ == nullptr) return;
  quarantine_->evaluate_parts(monotonic_now());
  if (!zone_nodes_.empty()) send_zone_quarantine_messages(monotonic_now());
  if (!remote_zones_.empty()) send_remote_quarantine_messages(monotonic_now());
  // Reports about long prompts need several datagrams.
  const bool has_unsent = (!zone_nodes_.empty() && quarantine_->has_unsent_zone_part_reports()) ||
                          (!remote_zones_.empty() && quarantine_->has_unsent_remote_part_reports());
  if (has_unsent) schedule_end_reports();
}

void PeerLoads::send_zone_quarantine_messages(TimePoint now) {
  const RunnerExitReports reports{.reports = quarantine_->next_zone_reports(now)};
  if (!reports.reports.empty()) send_to_zone(make_datagram(reports));
  const QuarantineNotices notices{.notices = quarantine_->next_zone_notices(now)};
  if (!notices.notices.empty()) send_to_zone(make_datagram(notices));
  const PromptPartReports parts = quarantine_->next_zone_part_reports(now);
  if (!parts.empty()) send_to_zone(make_datagram(parts));
}

/// Each repetition goes to another node of a zone, so that the loss of one message or one node has
/// no effect.
void PeerLoads::send_remote_quarantine_messages(TimePoint now) {
  const RunnerExitReports reports{.reports = quarantine_->next_remote_reports(now),
                                  .forward = true};
  const QuarantineNotices notices{.notices = quarantine_->next_remote_notices(now),
                                  .forward = true};
  if (!reports.reports.empty()) send_to_other_zones(make_datagram(reports), remote_rotation_);
  if (!notices.notices.empty()) send_to_other_zones(make_datagram(notices), remote_rotation_);
  PromptPartReports parts = quarantine_->next_remote_part_reports(now);
  parts.forward = true;
  if (!parts.empty()) send_to_other_zones(make_datagram(parts), remote_rotation_);
  const bool sent = !reports.reports.empty() || !notices.notices.empty() || !parts.empty();
  if (sent) ++remote_rotation_;
}

void PeerLoads::send_quarantine_notices(const Endpoint& node) {
  if (quarantine_ == nullptr) return;
  const QuarantineNotices notices{.notices = quarantine_->next_refresh_notices(monotonic_now())};
  if (!notices.notices.empty()) send_to(node, make_datagram(notices));
}

void PeerLoads::refresh_quarantine_notices() {
  if (quarantine_ == nullptr) return;
  QuarantineNotices notices{.notices = quarantine_->next_refresh_notices(monotonic_now())};
  if (notices.notices.empty()) return;
  ++refresh_rotation_;
  std::vector<Endpoint> zone_nodes;
  zone_nodes_.for_each([&](const Endpoint& node) { zone_nodes.push_back(node); });
  if (!zone_nodes.empty()) {
    send_to(zone_nodes[refresh_rotation_ % zone_nodes.size()], make_datagram(notices));
  }
  if (remote_zones_.empty()) return;
  notices.forward = true;
  const auto zone = std::next(
      remote_zones_.begin(), static_cast<std::ptrdiff_t>(refresh_rotation_ % remote_zones_.size()));
  const std::vector<Endpoint>& nodes = zone->second;
  const std::size_t node = refresh_rotation_ / remote_zones_.size() % nodes.size();
  send_to(nodes[node], make_datagram(notices));
}

}  // namespace stoathold
