/// @file
/// Writes results to the log in batches, and retries until they are durable.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <map>

#include "base/memory_budget.h"
#include "jobs/job_store.h"
#include "store/adaptive_append_size.h"

namespace stoathold {

/// Queues results by partition. At most one append per partition and a few in total are in flight:
/// on a narrow link more concurrent appends starve each other, time out and are sent again in full.
/// Not thread-safe.
class ResultWriter {
 public:
  /// Called when the result of an item has become durable.
  using Listener = std::function<void(const ItemResult&)>;

  ResultWriter(boost::asio::any_io_executor executor, JobStore& store, Listener listener);

  /// Charges the results that are not durable yet to the budget, which must outlive the writer.
  void charge_to(MemoryBudget& budget) {
    memory_ = budget.charge(MemoryAccount::kJobResults, pending_bytes_);
  }
  void add(ItemResult result);
  /// Returns the number of results that are queued or in flight.
  [[nodiscard]] std::size_t pending() const { return pending_; }

 private:
  using Queue = std::deque<ItemResult>;

  void start_writers();
  /// Writes the queued results, one partition after the other.
  boost::asio::awaitable<void> write_queued();
  boost::asio::awaitable<void> write(PartitionName partition);
  /// Removes and returns the leading results that fit into one append; at least one.
  Queue take_batch(Queue& queue) const;
  [[nodiscard]] std::vector<KeyedRecord> records_of(const Queue& results) const;

  boost::asio::any_io_executor executor_;
  JobStore& store_;
  Listener listener_;
  std::map<PartitionName, Queue> queues_;         ///< Of partitions that wait or are being written.
  std::deque<PartitionName> waiting_partitions_;  ///< In order of arrival.
  int writers_ = 0;
  AdaptiveAppendSize append_size_;
  std::size_t pending_ = 0;
  std::uint64_t pending_bytes_ = 0;
  MemoryReservation memory_;  ///< Charges `pending_bytes_`.
};

}  // namespace stoathold
