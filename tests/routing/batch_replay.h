/// @file
/// A replay without a network: nodes of some zones give batch items to runners that online work
/// takes back. What a node knows of the others is as old as their digests.
#pragma once

#include <cstddef>
#include <cstdint>

namespace stoathold::batch_replay {

/// How nodes share the slots that are free.
enum class Way : std::uint8_t {
  kAllAtOnce,  ///< Each node takes what it sees.
  kShares,     ///< Each takes, each 20 ms, its part by the items that wait.
  kDealt,      ///< `BatchTurns`.
  kOnePool,    ///< All is known everywhere at once: the bound.
};

/// Which of the items that can be in time goes first.
enum class Order : std::uint8_t {
  kSlack,      ///< The one that must begin first.
  kLeastRest,  ///< The one that has least left.
  kByNeed,     ///< By slack until items of the zone are late, then by what is left.
};

struct Play {
  Way way = Way::kAllAtOnce;
  std::size_t nodes = 89;  ///< With a runner of 8 slots each, in three zones.
  std::uint64_t seed = 1;
  bool busy = true;        ///< Half of the nodes get their processor each 100 ms only.
  double seconds = 36;     ///< Arrivals; items run on to their end.
  double silent_part = 0;  ///< Of the nodes, from the second 12 on: they take and say nothing.
  double stretch = 1;  ///< By which an item's rest is counted longer when its slack is asked for.
  Order order = Order::kSlack;
  bool preempt_rest = false;  ///< The item with the most left gives way, not the last one placed.
  double batch = 1;           ///< Times the usual arrivals of items.
  bool bursts = true;
  bool remote = true;  ///< Items go to other zones by loads reported each 250 ms.
};

struct Outcome {
  double items_late = 0;   ///< In 100.
  double online_late = 0;  ///< In 100: no slot within 255 ms.
  double beyond_slots =
      0;  ///< Items at runners that have no slot there, in the mean of the busy time.
  double most_at_runner = 0;  ///< Most requests that a runner had at once.
  double refused = 0;         ///< Items that runners turned away, a second.
  double preempted = 0;       ///< A second.
  double idle = 0;            ///< Slots that stood idle while items waited, in the mean.
  double idle_wanted = 0;     ///< Those below what batch may use while items wait in the same zone.
};

Outcome run(const Play& play);

}  // namespace stoathold::batch_replay
