/// @file
/// Writes results to the log, many with one call, until they are durable.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <map>

#include "jobs/job_store.h"

namespace stoathold {

/// Queues records by partition; one append a partition is in flight. Used on one thread.
class ResultWriter {
 public:
  /// Called when an item's result has become durable.
  using Listener = std::function<void(const ItemResult&)>;

  ResultWriter(boost::asio::any_io_executor executor, JobStore& store, Listener listener);

  void add(ItemResult result);
  /// Results that are queued or in flight.
  [[nodiscard]] std::size_t pending() const { return pending_; }

 private:
  struct Queue {
    std::deque<ItemResult> results;
    bool writing = false;
  };

  void start(const PartitionName& partition);
  boost::asio::awaitable<void> write(PartitionName partition);

  boost::asio::any_io_executor executor_;
  JobStore& store_;
  Listener listener_;
  std::map<PartitionName, Queue> queues_;
  std::size_t pending_ = 0;
};

}  // namespace stoathold
