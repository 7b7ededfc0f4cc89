/// @file
/// Decides which runners of a zone a node gives batch items to while items wait at several nodes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "routing/slot_arbitration.h"

namespace stoathold {

/// Number of batch items that wait for a slot at one node.
struct BatchQueueDepth {
  std::uint64_t service = 0;  ///< Hash of its name.
  std::uint16_t in_time = 0;  ///< Items that can still be on time.
  std::uint16_t late = 0;     ///< Items that cannot.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, in_time, late);
  }
};

/// Whether a batch item can still be on time.
enum class ItemUrgency : std::uint8_t { kInTime, kLate };

/// Divides the runners of a zone among the nodes that have waiting batch items.
///
/// After a peak of online work all nodes see the same slots free at the same moment. If each took
/// what it sees, runners would receive several times as many items as they have slots, and online
/// work would wait behind them. So the zone's runners are divided among the nodes in proportion to
/// the number of waiting items. All nodes compute the same order of nodes for a runner. A node that
/// is not first in this order uses the runner only once it has had free slots for a while. A node
/// that has the only waiting items, or knows no other node, may use every runner at once. Late
/// items rank behind all nodes that have on-time items.
///
/// The clock is passed in; performs no I/O. Used on one thread.
class BatchArbiter {
 public:
  /// @param self this node, as in its digests.
  void set_self(std::uint64_t self) { self_ = self; }
  /// Sets a listener that is called when the number of items waiting here changes and should be
  /// reported.
  void set_change_listener(std::function<void()> listener) { listener_ = std::move(listener); }
  /// An item begins, or ends, to wait here for a slot of a service, given by the hash of its name.
  void begin_wait(std::uint64_t service, ItemUrgency urgency);
  void end_wait(std::uint64_t service, ItemUrgency urgency);
  /// Returns the waiting items of this node, to be reported to other nodes.
  [[nodiscard]] std::vector<BatchQueueDepth> report() const;
  /// Replaces the waiting items of another node of the zone by those that it reports.
  void apply_report(std::uint64_t node, const std::vector<BatchQueueDepth>& waits, TimePoint now);

  /// Returns whether this node may give an item to a runner that has a free slot. Must be called
  /// whenever a free slot is seen: after 250 ms without a call the slot counts as newly free.
  bool may_use_runner(std::uint64_t service, ItemUrgency urgency, std::uint64_t runner,
                      TimePoint now);
  /// Returns whether this node is first in the order for a runner. Used for runners of other zones,
  /// whose use by other nodes becomes known too late for later ranks to take them.
  bool is_first_in_order(std::uint64_t service, ItemUrgency urgency, std::uint64_t runner,
                         TimePoint now);
  /// Records that a runner has no free slot.
  void record_no_free_slot(std::uint64_t runner) { free_slots_.erase(runner); }

 private:
  struct Peer {
    std::vector<BatchQueueDepth> waits;
    TimePoint received_at{};
  };
  using QueueKey = std::pair<std::uint64_t, ItemUrgency>;  ///< Service and urgency of items.
  /// Ranks of this node at runners, for one group of items.
  struct Ranks {
    TimePoint computed{};
    std::size_t before = 0;  ///< Nodes that rank before all contenders.
    std::vector<SlotContender> contenders;
    std::unordered_map<std::uint64_t, std::size_t> by_runner;
  };
  struct FreeSlots {
    TimePoint since{};
    TimePoint seen{};
  };
  [[nodiscard]] std::vector<SlotContender> contenders(const QueueKey& key, TimePoint now) const;
  std::size_t rank(const QueueKey& key, std::uint64_t runner, TimePoint now);

  std::uint64_t self_ = 0;
  std::function<void()> listener_;
  std::map<std::uint64_t, BatchQueueDepth> own_;  ///< By service.
  std::map<std::uint64_t, Peer> peers_;
  std::map<QueueKey, Ranks> ranks_;
  std::unordered_map<std::uint64_t, FreeSlots> free_slots_;
};

}  // namespace stoathold
