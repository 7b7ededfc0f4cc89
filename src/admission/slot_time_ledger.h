/// @file
/// Recent slot time of tenants over all nodes that share a service's slots.
///
/// Each node counts the slot time that it granted in counters that only increase, and receives the
/// counters of the other nodes in their digests. Only differences are used: a lost report is made
/// up for by the next one, a late or duplicate one changes nothing, and a restarted node is counted
/// from its first report on. Use decays over some seconds, so that no tenant gains from having been
/// idle for long or is penalized for long for slots that nobody else needed.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "admission/slot_time_report.h"
#include "base/decaying_count.h"
#include "base/time.h"

namespace stoathold {

/// A tenant at a service, identified by the hashes of their names.
struct TenantServiceKey {
  std::uint64_t service = 0;  ///< Hash of the service and the class of work.
  std::uint64_t tenant = 0;

  bool operator==(const TenantServiceKey&) const = default;
};

/// Time in which use decays to 1/e, the same as for requests in the rate limits of tenants. Shares
/// are balanced over several oscillations of arrivals, not within one.
inline constexpr Duration kUsageDecayTime = std::chrono::seconds(3);

/// Slot time used by tenant and service, as known to this node. Used on one thread.
class SlotTimeLedger {
 public:
  /// Sum over all tenants of a service.
  struct Total {
    double seconds = 0;  ///< Slot time, including that of requests waiting here.
    double weight = 0;   ///< Sum of the weights of the tenants with any use.
  };

  /// Sets the weights of tenants; all others have weight 1.
  void set_weights(std::unordered_map<std::uint64_t, double> weights);
  [[nodiscard]] double weight_of(std::uint64_t tenant) const;

  /// Adds a request that waits at this node.
  void add_waiting(const TenantServiceKey& key, Duration slot_time, TimePoint now);
  /// Removes a request that no longer waits.
  void remove_waiting(const TenantServiceKey& key, Duration slot_time);
  /// Charges a request that got a slot from this node.
  void charge(const TenantServiceKey& key, Duration slot_time, TimePoint now);

  /// Applies another node's counter.
  /// @param node id of the sender, which changes with each start.
  void apply_report(std::uint64_t node, const SlotTimeReport& report, TimePoint now);
  /// Returns this node's counters that changed within `age`, newest first, at most `max_count`.
  [[nodiscard]] std::vector<SlotTimeReport> changes(Duration age, std::size_t max_count,
                                                    TimePoint now) const;

  /// Returns the tenant's recent slot time plus that of its requests waiting here, in seconds.
  [[nodiscard]] double used_seconds(const TenantServiceKey& key, TimePoint now) const;
  /// Returns the slot time of the tenant's requests waiting here, in seconds.
  [[nodiscard]] double waiting_seconds(const TenantServiceKey& key) const;
  [[nodiscard]] Total total(std::uint64_t service, TimePoint now) const;
  /// Removes nodes and tenants that have been inactive for long; called periodically.
  void remove_inactive(TimePoint now);
  [[nodiscard]] std::size_t size() const { return shares_.size(); }

 private:
  struct KeyHash {
    std::size_t operator()(const TenantServiceKey& key) const {
      return static_cast<std::size_t>(key.service ^ (key.tenant * 0x9E3779B97F4A7C15ULL));
    }
  };
  struct Share {
    DecayingCount recent{kUsageDecayTime};  ///< Seconds, over all nodes.
    double waiting = 0;                     ///< Seconds, at this node.
    double granted_ms = 0;                  ///< Granted by this node.
    TimePoint changed{};
  };
  /// Latest counter value of another node.
  struct Counter {
    std::uint32_t slot_ms = 0;
    TimePoint increased_at{};
  };
  struct Node {
    TimePoint last_receive_time{};
    std::unordered_map<TenantServiceKey, Counter, KeyHash> counters;
  };
  struct Change {
    TimePoint time{};
    TenantServiceKey key;
  };
  using Shares = std::unordered_map<TenantServiceKey, Share, KeyHash>;

  /// Returns the share, creating it if the table is not full; null otherwise.
  Share* share_of(const TenantServiceKey& key, TimePoint now);

  Shares shares_;
  std::unordered_map<std::uint64_t, Node> nodes_;
  std::unordered_map<std::uint64_t, double> weights_;
  std::deque<Change> own_changes_;  ///< Oldest first.
};

}  // namespace stoathold
