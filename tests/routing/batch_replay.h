/// @file
/// Simulation without a network: nodes of several zones place batch items at runners from which
/// online work preempts them. Nodes know each other's state only as of the last digest.
#pragma once

#include <cstddef>
#include <cstdint>

namespace stoathold::batch_replay {

/// How nodes share the free slots.
enum class SharingPolicy : std::uint8_t {
  kUncoordinated,       ///< Each node takes the free slots that it sees.
  kProportionalBudget,  ///< Every 20 ms each node gets a budget proportional to its waiting items.
  kArbitrated,          ///< By `BatchArbiter`.
  kGlobalQueue,         ///< One queue with immediate knowledge of all state: the optimum.
};

/// The order of the items that can still be on time.
enum class ItemOrder : std::uint8_t {
  kLeastSlack,      ///< The one that must start first.
  kLeastRemaining,  ///< The one with the least remaining work.
  kAdaptive,        ///< By slack until items of the zone are late, then by remaining work.
};

struct Scenario {
  SharingPolicy policy = SharingPolicy::kUncoordinated;
  std::size_t nodes = 89;  ///< Each with a runner of 8 slots, in three zones.
  std::uint64_t seed = 1;
  bool half_slow_nodes = true;  ///< Half of the nodes are scheduled only every 100 ms.
  double seconds = 36;          ///< Duration of arrivals; started items run to completion.
  double silent_fraction = 0;   ///< Fraction of nodes that stop placing and reporting at 12 s.
  /// Factor on an item's remaining time in the computation of its slack.
  double remaining_time_factor = 1;
  ItemOrder order = ItemOrder::kLeastSlack;
  /// Preempt the item with the most remaining work, not the last one placed.
  bool preempt_most_remaining = false;
  double batch_rate_factor = 1;  ///< Factor on the usual arrival rate of items.
  bool bursts = true;
  bool remote = true;  ///< Place items in other zones, by loads reported every 250 ms.
};

struct Outcome {
  double items_late = 0;   ///< Percent.
  double online_late = 0;  ///< Percent without a slot within 255 ms.
  double items_beyond_slots =
      0;  ///< Mean number of items beyond the runners' slots during arrivals.
  double max_requests_at_runner = 0;  ///< Maximum number of requests at a runner.
  double rejected = 0;                ///< Items rejected by runners per second.
  double preempted = 0;               ///< Per second.
  double idle_slots = 0;              ///< Mean number of idle slots while items wait.
  /// Those of them that batch may use, while items wait in the same zone.
  double idle_allowed_slots = 0;
};

Outcome run(const Scenario& scenario);

}  // namespace stoathold::batch_replay
