#include "admission/zone_backlog.h"

#include <algorithm>

#include "base/saturated.h"

namespace stoathold {
namespace {

/// A node at which work waits reports each 20 ms and every 0.5 s at least else. What it said
/// longer ago than this no longer counts as waiting: without it more is admitted, not less.
constexpr Duration kReportLifetime = std::chrono::milliseconds(250);
/// Counters over a longer gap (a node was cut off, or this one suspended) give no rate of now.
constexpr Duration kLongestGap = std::chrono::milliseconds(700);
/// A node that is silent for so long is gone.
constexpr Duration kPeerLifetime = std::chrono::seconds(3);
/// A counter that went on by more than this has begun anew, or the report came out of order.
constexpr std::uint32_t kLargestDifference = 1U << 20U;
/// Fewer samples say nothing of the time that a request holds a slot.
constexpr std::uint32_t kFewestFreed = 8;
/// Services of which figures are kept; a fleet has some tens.
constexpr std::size_t kMostServices = 256;

std::uint32_t to_ms(Duration duration) {
  return saturated<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::int64_t bin_of(TimePoint now) {
  return now.time_since_epoch() / ArrivalSwing::kBin + 1;
}

/// Returns by how much a counter went on; 0 if it did not.
std::uint32_t difference(std::uint32_t before, std::uint32_t after) {
  const std::uint32_t difference = after - before;
  return difference <= kLargestDifference ? difference : 0;
}

}  // namespace

ZoneBacklog::ServiceState& ZoneBacklog::advance(std::uint64_t service, TimePoint now) {
  if (services_.size() >= kMostServices && !services_.contains(service)) services_.clear();
  ServiceState& state = services_[service];
  const std::int64_t bin = bin_of(now);
  if (state.current_bin == 0) state.current_bin = bin;
  // After a long silence what was counted before says nothing of now.
  if (bin - state.current_bin > static_cast<std::int64_t>(kBins)) {
    state = ServiceState{};
    state.current_bin = bin;
  }
  while (state.current_bin < bin) {
    const double rate = state.bin().arrivals / to_seconds(ArrivalSwing::kBin);
    state.swing.observe(rate, TimePoint{state.current_bin * ArrivalSwing::kBin});
    ++state.current_bin;
    state.bin() = Bin{};
  }
  return state;
}

void ZoneBacklog::count_arrival(std::uint64_t service, std::uint8_t priority, TimePoint now) {
  ++own_[{service, priority}].arrivals;
  ++advance(service, now).bin().arrivals;
}

void ZoneBacklog::count_freed(std::uint64_t service, std::uint8_t priority, Duration held,
                              TimePoint now) {
  ServiceBacklog& own = own_[{service, priority}];
  ++own.freed_slots;
  own.freed_slot_ms += to_ms(held);
  Bin& bin = advance(service, now).bin();
  ++bin.freed;
  bin.freed_ms += to_ms(held);
}

std::vector<ServiceBacklog> ZoneBacklog::report(const std::map<Group, QueuedWork>& waiting) const {
  std::vector<ServiceBacklog> entries;
  for (const auto& [group, counters] : own_) {
    ServiceBacklog entry = counters;
    entry.service = group.service;
    entry.priority = group.priority;
    const auto found = waiting.find(group);
    if (found != waiting.end()) {
      entry.waiting = saturated<std::uint16_t>(found->second.requests);
      entry.waiting_slot_ms = to_ms(found->second.slot_time);
    }
    entries.push_back(entry);
  }
  return entries;
}

void ZoneBacklog::take(std::uint64_t sender, const std::vector<ServiceBacklog>& report,
                       TimePoint now) {
  forget_silent(now);
  PeerReport& state = peers_[sender];
  const bool known = state.received != TimePoint{};
  if (known && now - state.received <= kLongestGap) count_differences(state, report, now);
  state.received = now;
  state.entries = report;
}

void ZoneBacklog::count_differences(const PeerReport& before,
                                    const std::vector<ServiceBacklog>& after, TimePoint now) {
  for (const ServiceBacklog& entry : after) {
    const auto old = std::find_if(
        before.entries.begin(), before.entries.end(), [&entry](const ServiceBacklog& candidate) {
          return candidate.service == entry.service && candidate.priority == entry.priority;
        });
    // Of a group that was not reported before, all was counted since.
    const ServiceBacklog none;
    const ServiceBacklog& base = old == before.entries.end() ? none : *old;
    Bin& bin = advance(entry.service, now).bin();
    bin.arrivals += difference(base.arrivals, entry.arrivals);
    const std::uint32_t freed = difference(base.freed_slots, entry.freed_slots);
    bin.freed += freed;
    if (freed > 0) bin.freed_ms += entry.freed_slot_ms - base.freed_slot_ms;
  }
}

void ZoneBacklog::forget_silent(TimePoint now) {
  std::erase_if(peers_,
                [now](const auto& entry) { return now - entry.second.received > kPeerLifetime; });
}

ServiceFigures ZoneBacklog::figures(std::uint64_t service, std::uint8_t priority, TimePoint now) {
  ServiceFigures figures;
  for (const auto& [sender, report] : peers_) {
    const Duration age = now - report.received;
    if (age > kReportLifetime) continue;
    for (const ServiceBacklog& entry : report.entries) {
      if (entry.service != service || entry.priority > priority || entry.waiting == 0) continue;
      figures.peers += {entry.waiting, std::chrono::milliseconds(entry.waiting_slot_ms)};
      figures.oldest_report = std::max(figures.oldest_report, age);
    }
  }
  if (!services_.contains(service)) return figures;
  const ServiceState& state = advance(service, now);
  std::uint32_t freed = 0;
  std::uint64_t freed_ms = 0;
  for (const Bin& bin : state.bins) {
    freed += bin.freed;
    freed_ms += bin.freed_ms;
  }
  figures.freed_per_second = freed / (to_seconds(ArrivalSwing::kBin) * kBins);
  if (freed >= kFewestFreed) {
    figures.slot_time = std::chrono::milliseconds(static_cast<std::int64_t>(freed_ms / freed));
  }
  return figures;
}

const ArrivalSwing* ZoneBacklog::swing(std::uint64_t service, TimePoint now) {
  if (!services_.contains(service)) return nullptr;
  return &advance(service, now).swing;
}

}  // namespace stoathold
