/// @file
/// Catches a replica up with the log for callers that cannot wait for long.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "store/coalesced_read.h"
#include "store/partition_replica.h"

namespace stoathold {

/// Callers that arrive together share a read. After a failure, further ones fail at once for a
/// while, so that a log that does not respond delays few of them. Used on one thread; outlives the
/// calls in flight.
class BoundedCatchUp {
 public:
  explicit BoundedCatchUp(std::shared_ptr<PartitionReplica> replica)
      : replica_(std::move(replica)) {}

  /// Returns whether the replica now includes every record that the log held before this call.
  boost::asio::awaitable<bool> run();

 private:
  std::shared_ptr<PartitionReplica> replica_;
  CoalescedRead reads_;
  TimePoint last_failure_{};
};

}  // namespace stoathold
