#include "routing/slot_arbitration.h"

#include <algorithm>
#include <cmath>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Time for the use of a slot to be seen by the other nodes: a digest waits up to 12 ms for the one
/// before it, and takes about a millisecond to arrive and to be read.
constexpr Duration kUseBecomesKnown = std::chrono::milliseconds(15);
/// Later ranks wait no longer than this: the slot should not stand idle if many nodes were lost.
constexpr std::size_t kMostRanks = 3;

/// Weighted rendezvous: the smallest value wins, in proportion to the weights.
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
  return kUseBecomesKnown * static_cast<Duration::rep>(std::min(rank, kMostRanks));
}

}  // namespace stoathold
