/// @file
/// Mutexes with a lock order. This header is the only definition of the order.
#pragma once

#include <mutex>

namespace stoathold {

/// Lock order: a thread may only lock a mutex of a higher rank than those it holds. No lock is held
/// during input or output.
enum class LockRank : int {
  kJobShards = 10,
  kBatchRunners = 20,
  kOnlineRequests = 30,
  kShardCalls = 35,
  kRunnerTable = 40,
  kConfiguration = 50,
  kMembership = 60,
  kServer = 70,
  kTransport = 80,
};

/// A mutex that aborts a debug build when a thread violates the lock order. Meets the Lockable
/// requirements, so `std::scoped_lock` works on it.
class RankedMutex {
 public:
  explicit RankedMutex(LockRank rank) : rank_(rank) {}

  void lock();
  void unlock();

 private:
  std::mutex mutex_;
  LockRank rank_;
};

}  // namespace stoathold
