/// @file
/// Who takes a slot that has come free while several nodes wait for one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace stoathold {

/// A node with online work that waits for a slot.
struct SlotContender {
  std::uint64_t node = 0;     ///< As in its digests.
  std::uint32_t waiting = 0;  ///< Requests that wait there.
};

/// Nodes learn of a free slot from the same digest, at about the same moment. Were all that wait to
/// take it, one request would run and the others would wait in the runner's queue. So each node
/// computes, from the digest that showed the slot free, an order of all contenders; the first takes
/// the slot at once, and each further one only if those before it have not taken it in time. The
/// order needs no message. A node with more requests that wait comes first more often.
///
/// @param self the node that asks; it need not be a contender.
/// @param slot identity of the free slot, the same at all nodes: made of the runner and the digest.
/// @return how many contenders come before the node: all of them if it is none.
std::size_t rank_for_slot(std::uint64_t self, const std::vector<SlotContender>& contenders,
                          std::uint64_t slot);

/// Returns how long a node of this rank leaves the slot alone.
Duration slot_wait(std::size_t rank);

}  // namespace stoathold
