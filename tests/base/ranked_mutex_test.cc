#include "base/ranked_mutex.h"

#include <gtest/gtest.h>

#include <mutex>

namespace stoathold {
namespace {

TEST(RankedMutexTest, AcceptsLocksInOrder) {
  RankedMutex outer(LockRank::kJobShards);
  RankedMutex inner(LockRank::kMembership);
  const std::scoped_lock first(outer);
  const std::scoped_lock second(inner);
}

#ifndef NDEBUG
TEST(RankedMutexDeathTest, OrderViolationAborts) {
  RankedMutex outer(LockRank::kMembership);
  RankedMutex inner(LockRank::kJobShards);
  const std::scoped_lock first(outer);
  EXPECT_DEATH(inner.lock(), "lock order breach");
}
#endif

}  // namespace
}  // namespace stoathold
