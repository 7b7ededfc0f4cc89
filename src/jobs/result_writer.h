/// @file
/// Writes results to the log in batches, and retries until they are durable.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "base/memory_budget.h"
#include "jobs/job_store.h"
#include "store/adaptive_append_size.h"
#include "store/backoff.h"

namespace stoathold {

/// What becomes of a result that the log has rejected.
enum class RejectedResultAction : std::uint8_t {
  kRetry,  ///< It is written again later.
  kDrop,   ///< It is not needed any more.
};

/// Queues results by partition. At most one append per partition and a few in total are in flight:
/// on a narrow link more concurrent appends starve each other, time out and are sent again in full.
/// Not thread-safe.
///
/// A rejected append does not name the record that caused it. The following appends of its
/// partition are halved until the result that is rejected on its own is found. That one waits apart
/// from the queue and is written again with growing pauses, so that the results behind it become
/// durable at once: a rejection need not be final. A text that takes several appends lets the
/// others go between them.
class ResultWriter {
 public:
  /// Called when the result of an item has become durable.
  using Listener = std::function<void(const ItemResult&)>;
  /// Decides what becomes of a result that the log rejected on its own; may replace its content.
  using RejectionHandler = std::function<RejectedResultAction(ItemResult&)>;

  ResultWriter(boost::asio::any_io_executor executor, JobStore& store, Listener listener);

  /// Sets the handler of rejected results. Without one they are retried.
  void set_rejection_handler(RejectionHandler handler) { rejection_handler_ = std::move(handler); }
  /// Charges the results that are not durable yet to the budget, which must outlive the writer.
  void charge_to(MemoryBudget& budget) {
    memory_ = budget.charge(MemoryAccount::kJobResults, pending_bytes_);
  }
  void add(ItemResult result);
  /// Returns the number of results that are queued or in flight, or wait after a rejection.
  [[nodiscard]] std::size_t pending() const { return pending_; }

 private:
  struct PendingResult {
    ItemResult result;
    std::uint32_t rejections = 0;                ///< Rejections of appends of this result alone.
    Backoff pauses;                              ///< Pauses between these.
    std::optional<MultipartResult> multipart{};  ///< Set if the text takes several appends.
  };
  using Results = std::deque<PendingResult>;
  /// Results of one partition that wait or are being written.
  struct Queue {
    Results results;
    std::size_t batch_limit = 1;  ///< Maximum results of the next append.
  };

  void enqueue(PendingResult pending);
  void start_writers();
  /// Writes the queued results, one partition after the other.
  boost::asio::awaitable<void> write_queued();
  boost::asio::awaitable<void> write(PartitionName partition);
  /// Removes and returns the leading results that fit into one append; at least one.
  Results take_batch(Queue& queue) const;
  [[nodiscard]] std::vector<KeyedRecord> records_of(const Results& batch) const;
  /// Continues with the next append of a text that takes several.
  /// @return whether there is one.
  bool continue_multipart(Queue& queue, Results& batch);
  void on_batch_durable(Queue& queue, Results batch);
  void on_batch_rejected(Queue& queue, Results batch);
  /// Lets a result wait that was rejected on its own, or drops it.
  void set_aside(PendingResult pending);
  boost::asio::awaitable<void> requeue_after(Duration pause, PendingResult pending);
  /// Updates the memory charge after a change of the pending bytes.
  void replace_pending_bytes(std::uint64_t old_bytes, std::uint64_t new_bytes);
  /// Counts a result as durable or dropped.
  void remove_pending(const ItemResult& result);

  boost::asio::any_io_executor executor_;
  JobStore& store_;
  Listener listener_;
  RejectionHandler rejection_handler_;
  std::map<PartitionName, Queue> queues_;         ///< Of partitions that wait or are being written.
  std::deque<PartitionName> waiting_partitions_;  ///< In order of arrival.
  int writers_ = 0;
  AdaptiveAppendSize append_size_;
  std::size_t pending_ = 0;
  std::uint64_t pending_bytes_ = 0;
  MemoryReservation memory_;  ///< Charges `pending_bytes_`.
};

}  // namespace stoathold
