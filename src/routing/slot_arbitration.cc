#include "routing/slot_arbitration.h"

#include <algorithm>
#include <cmath>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Time until other nodes see that a slot is in use: a digest waits up to 12 ms for the previous
/// one, and takes about a millisecond to arrive and be processed.
constexpr Duration kUsePropagationTime = std::chrono::milliseconds(15);
/// Cap on the rank, so that the slot does not stay idle if many nodes have failed.
constexpr std::size_t kMaxRank = 3;

/// Weighted rendezvous hashing: the smallest value wins, with a probability proportional to the
/// weight.
double draw(const SlotContender& contender, std::uint64_t slot) {
  constexpr double kScale = 0x1.0p-64;
  const auto hash = static_cast<double>(mix_hashes(contender.node, slot));
  const double uniform = std::max(kScale, hash * kScale);
  return -std::log(uniform) / std::max<std::uint32_t>(1, contender.waiting);
}

}  // namespace

std::size_t rank_for_slot(std::uint64_t self, const std::vector<SlotContender>& contenders,
                          std::uint64_t slot) {
  const auto own = std::find_if(contenders.begin(), contenders.end(),
                                [self](const auto& contender) { return contender.node == self; });
  if (own == contenders.end()) return contenders.size();
  const double own_draw = draw(*own, slot);
  return static_cast<std::size_t>(
      std::count_if(contenders.begin(), contenders.end(), [&](const SlotContender& contender) {
        return contender.node != self && draw(contender, slot) < own_draw;
      }));
}

Duration slot_wait(std::size_t rank) {
  return kUsePropagationTime * static_cast<Duration::rep>(std::min(rank, kMaxRank));
}

}  // namespace stoathold
