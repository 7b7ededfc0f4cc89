/// @file
/// Slot time that tenants were given lately, over all nodes that share a service's slots.
///
/// Each node counts what it gave itself, in counters that only rise, and learns the others'
/// counters from their digests. Only differences count: a lost report is made up for by the next
/// one, a late or doubled one changes nothing, and a node that begins again counts from what it
/// reports first. Use is forgotten over some seconds, so that nobody gains by having been idle for
/// long, and nobody pays for long for slots that nobody else wanted.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "admission/share_report.h"
#include "base/decaying_count.h"
#include "base/time.h"

namespace stoathold {

/// A tenant at a service, by hashes of their names.
struct ShareKey {
  std::uint64_t service = 0;  ///< Of the service and the class of work.
  std::uint64_t tenant = 0;

  bool operator==(const ShareKey&) const = default;
};

/// Time in which use falls to 1/e of itself: as long as the limits on tenants remember requests.
/// Shares are evened out over the swings of arrivals, not inside one.
inline constexpr Duration kShareMemory = std::chrono::seconds(3);

/// Use by tenant and service, as this node knows it. Used on one thread.
class ShareLedger {
 public:
  /// What all tenants of a service have together.
  struct Total {
    double seconds = 0;  ///< Slot time, that of requests that wait here included.
    double weight = 0;   ///< Of the tenants that have any.
  };

  /// Sets tenants' weights; those not named weigh 1.
  void set_weights(std::unordered_map<std::uint64_t, double> weights);
  [[nodiscard]] double weight_of(std::uint64_t tenant) const;

  /// A request waits at this node.
  void wait(const ShareKey& key, Duration slot_time, TimePoint now);
  /// It waits no longer.
  void end_wait(const ShareKey& key, Duration slot_time);
  /// A request was given a slot by this node.
  void use(const ShareKey& key, Duration slot_time, TimePoint now);

  /// Takes another node's counter.
  /// @param node the sender's name, another one after each start.
  void take(std::uint64_t node, const ShareUse& report, TimePoint now);
  /// Returns this node's counters that changed within `age`, the newest first, at most `most`.
  [[nodiscard]] std::vector<ShareUse> changes(Duration age, std::size_t most, TimePoint now) const;

  /// Returns the slot time in seconds that the tenant was given lately, and waits for here.
  [[nodiscard]] double seconds(const ShareKey& key, TimePoint now) const;
  /// Returns what waits here for the tenant, in seconds of slot time.
  [[nodiscard]] double waiting_seconds(const ShareKey& key) const;
  [[nodiscard]] Total total(std::uint64_t service, TimePoint now) const;
  /// Forgets nodes and tenants of which nothing was heard for long; called now and then.
  void forget(TimePoint now);
  [[nodiscard]] std::size_t size() const { return shares_.size(); }

 private:
  struct KeyHash {
    std::size_t operator()(const ShareKey& key) const {
      return static_cast<std::size_t>(key.service ^ (key.tenant * 0x9E3779B97F4A7C15ULL));
    }
  };
  struct Share {
    DecayingCount lately{kShareMemory};  ///< Seconds, of all nodes.
    double waiting = 0;                  ///< Seconds, at this node.
    double given_ms = 0;                 ///< By this node.
    TimePoint changed{};
  };
  /// Another node's counter.
  struct Counter {
    std::uint32_t slot_ms = 0;
    TimePoint risen{};
  };
  struct Node {
    TimePoint heard{};
    std::unordered_map<ShareKey, Counter, KeyHash> counters;
  };
  struct Change {
    TimePoint time{};
    ShareKey key;
  };
  using Shares = std::unordered_map<ShareKey, Share, KeyHash>;

  /// Returns the share, made if there is room; null if there is none.
  Share* share_of(const ShareKey& key, TimePoint now);

  Shares shares_;
  std::unordered_map<std::uint64_t, Node> nodes_;
  std::unordered_map<std::uint64_t, double> weights_;
  std::deque<Change> own_changes_;  ///< The oldest first.
};

}  // namespace stoathold
