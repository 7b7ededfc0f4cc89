/// @file
/// Finds jobs in the log that the configuration in force does not lead to.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "base/time.h"
#include "jobs/job_store.h"
#include "store/backoff.h"

namespace stoathold {

/// A node follows the jobs of the hosts that its configuration names, but slots are assigned over
/// all jobs: those of a host whose routes were all removed are open until a holder of their slot
/// ends them, and readable until it erases them. While this node holds slots, it therefore reads
/// the partitions of the jobs topic that it does not follow: each once at first, then after
/// intervals that double while the partition is empty, since a node with an older configuration may
/// accept another job; and frequently while there are jobs.
///
/// All nodes together read at a limited rate, so that a start of all of them at once does not delay
/// their other reads. Not thread-safe; must outlive its coroutine.
class JobDiscovery {
 public:
  /// Returns the share of the slots that this node holds, from 0 to 1. 0 while it must not look: it
  /// holds none or does not know a configuration yet.
  using HeldShare = std::function<double()>;

  JobDiscovery(boost::asio::any_io_executor executor, JobStore& store, HeldShare held_share);

  /// Looks for jobs while `running` returns true.
  boost::asio::awaitable<void> run(std::function<bool()> running);

 private:
  /// The next read of a partition.
  struct Look {
    TimePoint due{};
    Duration interval{0};  ///< Until the read after it, if the partition is still empty.
  };

  /// Makes all partitions due, in random order, as after a start.
  void reset();
  /// Returns the partition that is due for longest and not followed; nothing if there is none.
  [[nodiscard]] std::optional<std::uint32_t> next_due() const;
  /// Reads what is due.
  /// @return the pause before the next call.
  boost::asio::awaitable<Duration> look();
  void schedule_next(std::uint32_t partition);
  /// Returns the pause between two reads of this node.
  [[nodiscard]] Duration read_pause() const;

  boost::asio::any_io_executor executor_;
  JobStore& store_;
  HeldShare held_share_;
  std::vector<Look> looks_;  ///< By number of the partition; empty while this node holds no slots.
  Backoff failure_backoff_;
};

}  // namespace stoathold
