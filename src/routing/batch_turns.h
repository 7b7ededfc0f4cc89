/// @file
/// Which runners of a zone a node gives batch items to while items wait at several nodes.
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

/// Batch items that wait for a slot at one node.
struct BatchWait {
  std::uint64_t service = 0;  ///< Hash of its name.
  std::uint16_t in_time = 0;  ///< Items that can still be in time.
  std::uint16_t late = 0;     ///< Items that cannot.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, in_time, late);
  }
};

/// Whether an item can still be in time.
enum class ItemUrgency : std::uint8_t { kInTime, kLate };

/// After a peak of online work all nodes see the same slots free at the same moment. Were each to
/// take what it sees, runners would be given several times the items that they have slots for, and
/// online work would wait behind them. So the zone's runners are dealt among the nodes where items
/// wait, in proportion to how many: each node computes the same order of nodes for a runner, and
/// one that is not the first leaves a runner alone until it has had room for a while. A node that
/// is alone with its items, or of which no other node is known, takes every runner at once. Items
/// that will be late come after all nodes that have items in time.
///
/// Pure: no clock, no sockets. Used on one thread.
class BatchTurns {
 public:
  /// @param self this node, as in its digests.
  void set_self(std::uint64_t self) { self_ = self; }
  /// Called when other nodes should hear how many items wait here.
  void set_change_listener(std::function<void()> listener) { listener_ = std::move(listener); }
  /// An item begins to wait here for a slot at a service, by the hash of its name.
  void begin_wait(std::uint64_t service, ItemUrgency urgency);
  void end_wait(std::uint64_t service, ItemUrgency urgency);
  /// Returns what waits here, for the others.
  [[nodiscard]] std::vector<BatchWait> report() const;
  /// Another node of the zone says what waits there: all that does.
  void take(std::uint64_t node, const std::vector<BatchWait>& waits, TimePoint now);

  /// Whether this node may give an item to a runner that has room. Called whenever room is seen;
  /// without a call for some time the room counts as new.
  bool may_take(std::uint64_t service, ItemUrgency urgency, std::uint64_t runner, TimePoint now);
  /// Whether this node is the first for a runner. What nodes do at runners of other zones is known
  /// too late for any other to follow.
  bool is_first(std::uint64_t service, ItemUrgency urgency, std::uint64_t runner, TimePoint now);
  /// A runner was seen without room.
  void note_full(std::uint64_t runner) { room_.erase(runner); }

 private:
  struct Peer {
    std::vector<BatchWait> waits;
    TimePoint heard{};
  };
  using Kind = std::pair<std::uint64_t, ItemUrgency>;  ///< Of items: service and urgency.
  /// Ranks of this node at runners, for items of one kind.
  struct Ranks {
    TimePoint computed{};
    std::size_t before = 0;  ///< Nodes that come before all contenders.
    std::vector<SlotContender> contenders;
    std::unordered_map<std::uint64_t, std::size_t> by_runner;
  };
  struct Room {
    TimePoint since{};
    TimePoint seen{};
  };
  [[nodiscard]] std::vector<SlotContender> contenders(const Kind& kind, TimePoint now) const;
  std::size_t rank(const Kind& kind, std::uint64_t runner, TimePoint now);

  std::uint64_t self_ = 0;
  std::function<void()> listener_;
  std::map<std::uint64_t, BatchWait> own_;  ///< Items that wait here, by service.
  std::map<std::uint64_t, Peer> peers_;
  std::map<Kind, Ranks> ranks_;
  std::unordered_map<std::uint64_t, Room> room_;
};

}  // namespace stoathold
