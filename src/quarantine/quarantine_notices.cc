#include <algorithm>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/saturating_cast.h"
#include "quarantine/quarantine.h"

namespace stoathold {
namespace {

std::uint32_t age_ms(Duration age) {
  return saturating_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

}  // namespace

std::optional<QuarantineNotice> Quarantine::make_notice(ContentHash content, TimePoint now) const {
  QuarantineNotice notice{.content = value_of(content)};
  const auto lift = lifts_.find(content);
  if (lift) {
    notice.lifted_position = lift->position;
    notice.age_ms = age_ms(now - lift->at);
  }
  notice.quarantined = contains(content, now);
  if (notice.quarantined) {
    const QuarantinedRequest& request = quarantined_.at(content);
    notice.age_ms = age_ms(now + kQuarantineTime - request.until);
    notice.exits = request.exits;
    notice.lifted_position = std::max(notice.lifted_position, request.lifted_position);
  }
  return notice.quarantined || lift ? std::optional(notice) : std::nullopt;
}

std::vector<QuarantineNotice> Quarantine::next_notices(PendingNotices& pending, TimePoint now) {
  std::vector<QuarantineNotice> notices;
  for (const auto& entry : pending.next()) {
    const auto notice = make_notice(entry.message, now);
    if (notice) notices.push_back(*notice);
  }
  return notices;
}

std::vector<QuarantineNotice> Quarantine::next_zone_notices(TimePoint now) {
  return next_notices(zone_notices_, now);
}

std::vector<QuarantineNotice> Quarantine::next_remote_notices(TimePoint now) {
  return next_notices(remote_notices_, now);
}

std::vector<QuarantineNotice> Quarantine::next_refresh_notices(TimePoint now) {
  std::set<ContentHash> contents;
  for (const auto& [content, request] : quarantined_) contents.insert(content);
  for (const ContentHash content : lifts_.contents()) contents.insert(content);
  std::vector<ContentHash> order(contents.upper_bound(last_refreshed_), contents.end());
  order.insert(order.end(), contents.begin(), contents.upper_bound(last_refreshed_));
  order.resize(std::min(order.size(), kMaxNoticesInMessage));
  if (!order.empty()) last_refreshed_ = order.back();
  std::vector<QuarantineNotice> notices;
  for (const ContentHash content : order) {
    const auto notice = make_notice(content, now);
    if (notice) notices.push_back(*notice);
  }
  return notices;
}

std::vector<QuarantineNotice> Quarantine::apply_notices(
    const std::vector<QuarantineNotice>& notices, TimePoint now) {
  std::vector<QuarantineNotice> news;
  for (const QuarantineNotice& notice : notices) {
    const bool expired = std::chrono::milliseconds(notice.age_ms) >= kQuarantineTime;
    const bool lifted = notice.lifted_position < lifts_.position(ContentHash{notice.content});
    if (expired || lifted) continue;
    const bool new_lift = adopt_lift(notice, now);
    const bool new_quarantine = notice.quarantined && adopt_quarantine(notice, now);
    if (new_lift || new_quarantine) news.push_back(notice);
  }
  return news;
}

bool Quarantine::adopt_lift(const QuarantineNotice& notice, TimePoint now) {
  const ContentHash content{notice.content};
  if (notice.lifted_position <= lifts_.position(content)) return false;
  // If the request was quarantined again after the lift, this is later than the lift.
  const TimePoint lifted_by = now - std::chrono::milliseconds(notice.age_ms);
  const Lift lift{.position = notice.lifted_position, .at = lifted_by};
  lifts_.add(content, lift);
  end_quarantine(content, lift);
  return true;
}

bool Quarantine::adopt_quarantine(const QuarantineNotice& notice, TimePoint now) {
  const ContentHash content{notice.content};
  const TimePoint until = now + kQuarantineTime - std::chrono::milliseconds(notice.age_ms);
  if (contains(content, now) || until <= now + kExpiryTolerance) return false;
  quarantined_[content] = {
      .until = until, .exits = notice.exits, .lifted_position = notice.lifted_position};
  log_event(Event::kRequestQuarantined, {{"content", to_hex(notice.content)},
                                         {"ends", std::to_string(notice.exits)},
                                         {"source", "peer"}});
  // A node that decided without observing an exit itself writes no record.
  if (observed_locally_.contains(content) && quarantined_handler_) {
    quarantined_handler_(content, notice.exits);
  }
  if (change_listener_) change_listener_();
  return true;
}

}  // namespace stoathold
