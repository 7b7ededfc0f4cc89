/// @file
/// Writes results to the log, many with one call, until they are durable.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <map>

#include "base/memory_budget.h"
#include "jobs/job_store.h"
#include "store/append_size.h"

namespace stoathold {

/// Queues records by partition; one append a partition is in flight, and a few in all: more would
/// starve one another on a narrow link, and each be sent again whole. Used on one thread.
class ResultWriter {
 public:
  /// Called when an item's result has become durable.
  using Listener = std::function<void(const ItemResult&)>;

  ResultWriter(boost::asio::any_io_executor executor, JobStore& store, Listener listener);

  /// Counts the results that are not durable yet. The budget outlives the writer.
  void charge_to(MemoryBudget& budget) {
    memory_ = budget.charge(MemoryAccount::kJobResults, pending_bytes_);
  }
  void add(ItemResult result);
  /// Results that are queued or in flight.
  [[nodiscard]] std::size_t pending() const { return pending_; }

 private:
  using Queue = std::deque<ItemResult>;

  void start_writers();
  /// Writes the results of one partition after the other.
  boost::asio::awaitable<void> write_queued();
  boost::asio::awaitable<void> write(PartitionName partition);
  /// Takes results that fit into one append.
  Queue take_batch(Queue& queue) const;
  [[nodiscard]] std::vector<KeyedRecord> records_of(const Queue& results) const;

  boost::asio::any_io_executor executor_;
  JobStore& store_;
  Listener listener_;
  std::map<PartitionName, Queue> queues_;         ///< Of the partitions that wait or are written.
  std::deque<PartitionName> waiting_partitions_;  ///< In the order in which they came.
  int writers_ = 0;
  AppendSize append_size_;
  std::size_t pending_ = 0;
  std::uint64_t pending_bytes_ = 0;
  MemoryReservation memory_;  ///< Of the pending bytes.
};

}  // namespace stoathold
