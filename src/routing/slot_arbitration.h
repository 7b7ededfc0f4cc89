/// @file
/// Decides which node uses a newly free slot while several nodes wait for one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace stoathold {

/// A node with online requests that wait for a slot.
struct SlotContender {
  std::uint64_t node = 0;     ///< As in its digests.
  std::uint32_t waiting = 0;  ///< Number of waiting requests.
};

/// Returns the rank of a node among the contenders for a slot.
///
/// Nodes learn of a free slot from the same digest, at about the same time. If all waiting nodes
/// took it, one request would run and the others would wait in the runner's queue. So each node
/// computes an order of all contenders from the digest that showed the free slot. The first takes
/// the slot at once, each further one only if those before it have not taken it in time. This needs
/// no messages. A node with more waiting requests is first more often.
///
/// @param self the node to rank; it need not be a contender.
/// @param slot identity of the free slot, derived from the runner and the digest; equal at all
/// nodes.
/// @return how many contenders precede the node; all of them if it is not a contender.
std::size_t rank_for_slot(std::uint64_t self, const std::vector<SlotContender>& contenders,
                          std::uint64_t slot);

/// Returns how long a node of this rank must leave the slot unused.
Duration slot_wait(std::size_t rank);

}  // namespace stoathold
