#include "admission/zone_backlog.h"

#include <algorithm>

#include "base/saturating_cast.h"

namespace stoathold {
namespace {

/// A node with waiting work reports every 20 ms, any other node at least every 0.5 s. Waiting work
/// in older reports than this is ignored, which leads to more admissions, not fewer.
constexpr Duration kReportLifetime = std::chrono::milliseconds(250);
/// After a longer gap between reports, because a node was partitioned or this one suspended, the
/// difference of the counters does not give a current rate.
constexpr Duration kMaxReportGap = std::chrono::milliseconds(700);
/// A node that has been silent for this long is considered gone.
constexpr Duration kPeerLifetime = std::chrono::seconds(3);
/// Minimum interval between searches for such nodes: reports arrive at hundreds per second, and a
/// search visits all nodes of the zone.
constexpr Duration kPeerExpiryInterval = std::chrono::milliseconds(250);
/// A larger increase means that the counter was reset or that the report is out of order.
constexpr std::uint32_t kMaxCounterIncrease = 1U << 20U;
/// Minimum number of samples for a mean slot time.
constexpr std::uint32_t kMinFreedSlots = 8;
/// Maximum number of tracked services; a fleet has some dozens.
constexpr std::size_t kMaxServices = 256;

std::uint32_t to_ms(Duration duration) {
  return saturating_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::int64_t bin_of(TimePoint now) {
  return now.time_since_epoch() / ArrivalRateForecaster::kBin + 1;
}

/// Returns the increase of a counter; 0 if it did not increase.
std::uint32_t counter_increase(std::uint32_t before, std::uint32_t after) {
  const std::uint32_t counter_increase = after - before;
  return counter_increase <= kMaxCounterIncrease ? counter_increase : 0;
}

}  // namespace

ZoneBacklog::ServiceState& ZoneBacklog::advance(std::uint64_t service, TimePoint now) {
  if (services_.size() >= kMaxServices && !services_.contains(service)) services_.clear();
  ServiceState& state = services_[service];
  const std::int64_t bin = bin_of(now);
  if (state.current_bin == 0) state.current_bin = bin;
  // After a long gap the earlier counts are obsolete.
  if (bin - state.current_bin > static_cast<std::int64_t>(kBins)) {
    state = ServiceState{};
    state.current_bin = bin;
  }
  while (state.current_bin < bin) {
    const double rate = state.bin().arrivals / to_seconds(ArrivalRateForecaster::kBin);
    state.forecaster.observe(rate, TimePoint{state.current_bin * ArrivalRateForecaster::kBin});
    ++state.current_bin;
    state.bin() = Bin{};
  }
  return state;
}

void ZoneBacklog::record_arrival(std::uint64_t service, std::uint8_t priority, TimePoint now) {
  ++own_counters_[{service, priority}].arrivals;
  ++advance(service, now).bin().arrivals;
}

void ZoneBacklog::record_freed_slot(std::uint64_t service, std::uint8_t priority, Duration held,
                                    TimePoint now) {
  ServiceBacklog& own = own_counters_[{service, priority}];
  ++own.freed_slots;
  own.freed_slot_ms += to_ms(held);
  Bin& bin = advance(service, now).bin();
  ++bin.freed;
  bin.freed_ms += to_ms(held);
}

std::vector<ServiceBacklog> ZoneBacklog::report(const std::map<Group, QueuedWork>& waiting) const {
  std::vector<ServiceBacklog> entries;
  for (const auto& [group, counters] : own_counters_) {
    ServiceBacklog entry = counters;
    entry.service = group.service;
    entry.priority = group.priority;
    const auto found = waiting.find(group);
    if (found != waiting.end()) {
      entry.waiting = saturating_cast<std::uint16_t>(found->second.requests);
      entry.waiting_slot_ms = to_ms(found->second.slot_time);
    }
    entries.push_back(entry);
  }
  return entries;
}

void ZoneBacklog::apply_report(std::uint64_t sender, const std::vector<ServiceBacklog>& report,
                               TimePoint now) {
  expire_peers(now);
  PeerReport& state = peers_[sender];
  const bool known = state.received != TimePoint{};
  if (known && now - state.received <= kMaxReportGap) record_increases(state, report, now);
  state.received = now;
  state.entries = report;
}

void ZoneBacklog::record_increases(const PeerReport& before,
                                   const std::vector<ServiceBacklog>& after, TimePoint now) {
  for (const ServiceBacklog& entry : after) {
    const auto old = std::find_if(
        before.entries.begin(), before.entries.end(), [&entry](const ServiceBacklog& candidate) {
          return candidate.service == entry.service && candidate.priority == entry.priority;
        });
    // Counters of a group without an earlier report start at 0.
    const ServiceBacklog none;
    const ServiceBacklog& base = old == before.entries.end() ? none : *old;
    Bin& bin = advance(entry.service, now).bin();
    bin.arrivals += counter_increase(base.arrivals, entry.arrivals);
    const std::uint32_t freed = counter_increase(base.freed_slots, entry.freed_slots);
    bin.freed += freed;
    if (freed > 0) bin.freed_ms += entry.freed_slot_ms - base.freed_slot_ms;
  }
}

void ZoneBacklog::expire_peers(TimePoint now) {
  if (last_expiry_ != TimePoint{} && now - last_expiry_ < kPeerExpiryInterval) return;
  last_expiry_ = now;
  std::erase_if(peers_,
                [now](const auto& entry) { return now - entry.second.received > kPeerLifetime; });
}

ServiceStatistics ZoneBacklog::statistics(std::uint64_t service, std::uint8_t priority,
                                          TimePoint now) {
  ServiceStatistics statistics;
  for (const auto& [sender, report] : peers_) {
    const Duration age = now - report.received;
    if (age > kReportLifetime) continue;
    for (const ServiceBacklog& entry : report.entries) {
      if (entry.service != service || entry.priority > priority || entry.waiting == 0) continue;
      statistics.peers += {entry.waiting, std::chrono::milliseconds(entry.waiting_slot_ms)};
      statistics.oldest_report = std::max(statistics.oldest_report, age);
    }
  }
  if (!services_.contains(service)) return statistics;
  const ServiceState& state = advance(service, now);
  std::uint32_t freed = 0;
  std::uint64_t freed_ms = 0;
  for (const Bin& bin : state.bins) {
    freed += bin.freed;
    freed_ms += bin.freed_ms;
  }
  statistics.slots_freed_per_second = freed / (to_seconds(ArrivalRateForecaster::kBin) * kBins);
  if (freed >= kMinFreedSlots) {
    statistics.slot_time = std::chrono::milliseconds(static_cast<std::int64_t>(freed_ms / freed));
  }
  return statistics;
}

const ArrivalRateForecaster* ZoneBacklog::arrival_forecaster(std::uint64_t service, TimePoint now) {
  if (!services_.contains(service)) return nullptr;
  return &advance(service, now).forecaster;
}

}  // namespace stoathold
