#include "admission/retry_bookings.h"

#include <algorithm>

#include "base/saturating_cast.h"

namespace stoathold {
namespace {

/// Maximum number of entries of some 100 bytes each: one second of rejections at twice the arrivals
/// for which a zone is designed. The oldest entries are evicted first.
constexpr std::size_t kMaxEntries = 4096;
/// A retry may arrive early by this much. Reports are some 50 ms old when they arrive, and the
/// times in them are late by as much.
constexpr Duration kEarlyTolerance = std::chrono::milliseconds(100);
/// A retry that is overdue by this much is not expected any more; it includes a second for a new
/// connection.
constexpr Duration kArrivalGrace = std::chrono::seconds(2);
/// Longest time from the rejection to the end of the grace period: callers wait a few seconds at
/// most.
constexpr Duration kLifetime = std::chrono::seconds(10);
/// Number of digests that carry an entry, because single digests get lost.
constexpr std::uint32_t kReportRepeats = 3;

}  // namespace

RetryBookings::Bin RetryBookings::bin_of(const Entry& entry) {
  return {entry.service, entry.return_at.time_since_epoch() / kBookingBin};
}

void RetryBookings::add(std::uint64_t content, const Entry& entry) {
  entries_[content] = entry;
  by_age_.push_back(content);
  if (!entry.arrived) ++booked_counts_[bin_of(entry)];
  while (by_age_.size() > kMaxEntries) {
    const auto oldest = entries_.find(by_age_.front());
    by_age_.pop_front();
    if (oldest == entries_.end()) continue;
    release(oldest->second);
    entries_.erase(oldest);
  }
}

void RetryBookings::release(const Entry& entry) {
  if (entry.arrived) return;
  const auto found = booked_counts_.find(bin_of(entry));
  if (found != booked_counts_.end() && --found->second == 0) booked_counts_.erase(found);
}

void RetryBookings::book(std::uint64_t content, std::uint64_t service, TimePoint return_at,
                         TimePoint now) {
  expire(now);
  const auto found = entries_.find(content);
  if (found == entries_.end()) {
    add(content, {service, return_at, now, false});
  } else {
    release(found->second);
    found->second = {service, return_at, now, false};
    ++booked_counts_[bin_of(found->second)];
  }
  outgoing_.push_back({content, kReportRepeats});
}

bool RetryBookings::consume(std::uint64_t content, TimePoint now) {
  if (entries_.empty()) return false;
  expire(now);
  const auto found = entries_.find(content);
  if (found == entries_.end() || found->second.arrived) return false;
  if (now + kEarlyTolerance < found->second.return_at) return false;
  release(found->second);
  found->second.arrived = true;
  outgoing_.push_back({content, kReportRepeats});
  return true;
}

std::uint32_t RetryBookings::booked_at(std::uint64_t service, TimePoint at) const {
  const auto found = booked_counts_.find({service, at.time_since_epoch() / kBookingBin});
  return found == booked_counts_.end() ? 0 : found->second;
}

std::vector<RetryBookingReport> RetryBookings::report(std::size_t max_count, TimePoint now) {
  std::vector<RetryBookingReport> reports;
  const std::size_t report_count = std::min(max_count, outgoing_.size());
  for (std::size_t index = 0; index < report_count; ++index) {
    Outgoing next = outgoing_.front();
    outgoing_.pop_front();
    const auto found = entries_.find(next.content);
    if (found == entries_.end()) continue;
    const Entry& entry = found->second;
    reports.push_back({next.content, entry.service, saturating_milliseconds(entry.return_at - now),
                       entry.arrived});
    if (--next.repeats > 0) outgoing_.push_back(next);
  }
  return reports;
}

void RetryBookings::apply_report(const RetryBookingReport& report, TimePoint now) {
  expire(now);
  const TimePoint return_at = now + std::chrono::milliseconds(report.after_ms);
  const auto found = entries_.find(report.content);
  if (found == entries_.end()) {
    add(report.content, {report.service, return_at, now, report.arrived});
    return;
  }
  // A late or repeated report must not renew the booking of a retry that has already arrived.
  if (!report.arrived || found->second.arrived) return;
  release(found->second);
  found->second.arrived = true;
}

void RetryBookings::expire(TimePoint now) {
  while (!by_age_.empty()) {
    const auto oldest = entries_.find(by_age_.front());
    if (oldest != entries_.end()) {
      const Entry& entry = oldest->second;
      const bool over =
          now > entry.return_at + kArrivalGrace || now > entry.recorded_at + kLifetime;
      if (!over) return;
      release(entry);
      entries_.erase(oldest);
    }
    by_age_.pop_front();
  }
}

}  // namespace stoathold
