#include "admission/returning_callers.h"

#include <algorithm>

#include "base/saturated.h"

namespace stoathold {
namespace {

/// Entries that are kept, some 100 bytes each: a second of rejections at twice the arrivals that a
/// zone is built for. More push the oldest out.
constexpr std::size_t kMostEntries = 4096;
/// A caller counts as early enough by this: reports are some 50 ms old when they arrive, and so the
/// moments that they name are that much too late.
constexpr Duration kEarly = std::chrono::milliseconds(100);
/// A caller that has not come so long after its time does not come: it has a second for a new
/// connection.
constexpr Duration kGrace = std::chrono::seconds(2);
/// Longest time from the telling to the end of the grace: callers wait a few seconds at most.
constexpr Duration kLifetime = std::chrono::seconds(10);
/// Digests that carry an entry: single ones are lost.
constexpr std::uint32_t kRepeats = 3;

}  // namespace

ReturningCallers::Bin ReturningCallers::bin_of(const Entry& entry) {
  return {entry.service, entry.return_at.time_since_epoch() / kBookingBin};
}

void ReturningCallers::add(std::uint64_t content, const Entry& entry) {
  entries_[content] = entry;
  by_age_.push_back(content);
  if (!entry.came) ++expected_[bin_of(entry)];
  while (by_age_.size() > kMostEntries) {
    const auto oldest = entries_.find(by_age_.front());
    by_age_.pop_front();
    if (oldest == entries_.end()) continue;
    release(oldest->second);
    entries_.erase(oldest);
  }
}

void ReturningCallers::release(const Entry& entry) {
  if (entry.came) return;
  const auto found = expected_.find(bin_of(entry));
  if (found != expected_.end() && --found->second == 0) expected_.erase(found);
}

void ReturningCallers::tell(std::uint64_t content, std::uint64_t service, TimePoint return_at,
                            TimePoint now) {
  expire(now);
  const auto found = entries_.find(content);
  if (found == entries_.end()) {
    add(content, {service, return_at, now, false});
  } else {
    release(found->second);
    found->second = {service, return_at, now, false};
    ++expected_[bin_of(found->second)];
  }
  outgoing_.push_back({content, kRepeats});
}

bool ReturningCallers::take(std::uint64_t content, TimePoint now) {
  if (entries_.empty()) return false;
  expire(now);
  const auto found = entries_.find(content);
  if (found == entries_.end() || found->second.came) return false;
  if (now + kEarly < found->second.return_at) return false;
  release(found->second);
  found->second.came = true;
  outgoing_.push_back({content, kRepeats});
  return true;
}

std::uint32_t ReturningCallers::expected_at(std::uint64_t service, TimePoint at) const {
  const auto found = expected_.find({service, at.time_since_epoch() / kBookingBin});
  return found == expected_.end() ? 0 : found->second;
}

std::vector<ReturnReport> ReturningCallers::report(std::size_t most, TimePoint now) {
  std::vector<ReturnReport> reports;
  const std::size_t turns = std::min(most, outgoing_.size());
  for (std::size_t turn = 0; turn < turns; ++turn) {
    Outgoing next = outgoing_.front();
    outgoing_.pop_front();
    const auto found = entries_.find(next.content);
    if (found == entries_.end()) continue;
    const Entry& entry = found->second;
    reports.push_back(
        {next.content, entry.service, saturated_milliseconds(entry.return_at - now), entry.came});
    if (--next.repeats > 0) outgoing_.push_back(next);
  }
  return reports;
}

void ReturningCallers::take_report(const ReturnReport& report, TimePoint now) {
  expire(now);
  const TimePoint return_at = now + std::chrono::milliseconds(report.after_ms);
  const auto found = entries_.find(report.content);
  if (found == entries_.end()) {
    add(report.content, {report.service, return_at, now, report.came});
    return;
  }
  // A late or repeated report does not make a caller expected again that has come.
  if (!report.came || found->second.came) return;
  release(found->second);
  found->second.came = true;
}

void ReturningCallers::expire(TimePoint now) {
  while (!by_age_.empty()) {
    const auto oldest = entries_.find(by_age_.front());
    if (oldest != entries_.end()) {
      const Entry& entry = oldest->second;
      const bool over = now > entry.return_at + kGrace || now > entry.known_since + kLifetime;
      if (!over) return;
      release(entry);
      entries_.erase(oldest);
    }
    by_age_.pop_front();
  }
}

}  // namespace stoathold
