#include "base/ranked_mutex.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace stoathold {
namespace {

#ifndef NDEBUG
std::vector<LockRank>& held_ranks() {
  thread_local std::vector<LockRank> ranks;
  return ranks;
}

void check_order(LockRank rank) {
  const auto& ranks = held_ranks();
  if (ranks.empty() || ranks.back() < rank) return;
  std::fprintf(stderr, "lock order breach: rank %d taken while rank %d is held\n",
               static_cast<int>(rank), static_cast<int>(ranks.back()));
  std::abort();
}
#endif

}  // namespace

void RankedMutex::lock() {
#ifndef NDEBUG
  check_order(rank_);
#endif
  mutex_.lock();
#ifndef NDEBUG
  held_ranks().push_back(rank_);
#endif
}

void RankedMutex::unlock() {
#ifndef NDEBUG
  std::erase(held_ranks(), rank_);
#endif
  mutex_.unlock();
}

}  // namespace stoathold
