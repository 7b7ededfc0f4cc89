#include "jobs/result_writer.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>

#include "base/event_log.h"
#include "base/log_fields.h"
#include "base/timer.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Maximum bytes of one append.
constexpr std::uint64_t kMaxAppendBytes = 256UL * 1024;
/// Maximum results of one append.
constexpr std::size_t kMaxBatchResults = 512;
/// Maximum concurrent appends: 1 MB in total, which takes 0.3 s on a 30 Mbit/s link.
constexpr int kMaxConcurrentWriters = 4;
/// Upper estimate of the bytes of a result's records without the text.
constexpr std::uint64_t kRecordOverheadBytes = 600;
/// Pauses between the writes of a rejected result.
constexpr BackoffBounds kRejectedPauses{std::chrono::seconds(1), std::chrono::seconds(60)};

std::uint64_t estimated_bytes(const ItemResult& result) {
  return result.text.size() + kRecordOverheadBytes;
}

}  // namespace

ResultWriter::ResultWriter(asio::any_io_executor executor, JobStore& store, Listener listener)
    : executor_(std::move(executor)),
      store_(store),
      listener_(std::move(listener)),
      append_size_(kMaxAppendBytes) {}

void ResultWriter::add(ItemResult result) {
  replace_pending_bytes(0, estimated_bytes(result));
  ++pending_;
  std::optional<MultipartResult> multipart = store_.multipart_of(result);
  enqueue({.result = std::move(result),
           .rejections = 0,
           .pauses = Backoff(kRejectedPauses),
           .multipart = std::move(multipart)});
}

void ResultWriter::enqueue(PendingResult pending) {
  const PartitionName partition = store_.partition_of(JobData::kResults, pending.result.job);
  const auto [entry, added] = queues_.try_emplace(partition);
  Queue& queue = entry->second;
  queue.results.push_back(std::move(pending));
  if (!added) return;
  queue.batch_limit = kMaxBatchResults;
  waiting_partitions_.push_back(partition);
  start_writers();
}

void ResultWriter::start_writers() {
  if (waiting_partitions_.empty() || writers_ >= kMaxConcurrentWriters) return;
  ++writers_;
  asio::co_spawn(executor_, write_queued(), asio::detached);
}

asio::awaitable<void> ResultWriter::write_queued() {
  while (!waiting_partitions_.empty()) {
    const PartitionName partition = waiting_partitions_.front();
    waiting_partitions_.pop_front();
    co_await write(partition);
  }
  --writers_;
}

/// A result that was rejected before is written alone, so that it holds up no others again.
ResultWriter::Results ResultWriter::take_batch(Queue& queue) const {
  const std::uint64_t max_bytes = std::min(append_size_.bytes(), store_.limits().call_bytes);
  Results batch;
  std::uint64_t bytes = 0;
  while (!queue.results.empty() && batch.size() < queue.batch_limit) {
    PendingResult& next = queue.results.front();
    bytes += estimated_bytes(next.result);
    const bool is_alone = next.rejections > 0 || next.multipart;
    if (!batch.empty() && (is_alone || bytes > max_bytes)) break;
    batch.push_back(std::move(next));
    queue.results.pop_front();
    if (is_alone) break;
  }
  return batch;
}

std::vector<KeyedRecord> ResultWriter::records_of(const Results& batch) const {
  const PendingResult& first = batch.front();
  if (first.multipart) return first.multipart->next_append(first.result);
  std::vector<KeyedRecord> records;
  for (const auto& pending : batch) {
    std::vector<KeyedRecord> own = store_.records_of(pending.result);
    std::move(own.begin(), own.end(), std::back_inserter(records));
  }
  return records;
}

asio::awaitable<void> ResultWriter::write(PartitionName partition) {
  Queue& queue = queues_[partition];
  Backoff backoff;
  Timer timer(executor_);
  while (!queue.results.empty()) {
    Results batch = take_batch(queue);
    std::vector<KeyedRecord> records = records_of(batch);
    const LogStatus status = co_await store_.append_records(partition, std::move(records));
    append_size_.observe(status);
    if (batch.front().multipart) batch.front().multipart->observe(status);
    if (status == LogStatus::kOk) {
      backoff.reset();
      on_batch_durable(queue, std::move(batch));
      continue;
    }
    if (status == LogStatus::kRejected) {
      on_batch_rejected(queue, std::move(batch));
      continue;
    }
    std::move(batch.rbegin(), batch.rend(), std::front_inserter(queue.results));
    timer.expires_after(backoff.next());
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  queues_.erase(partition);
}

void ResultWriter::remove_pending(const ItemResult& result) {
  --pending_;
  replace_pending_bytes(estimated_bytes(result), 0);
}

void ResultWriter::replace_pending_bytes(std::uint64_t old_bytes, std::uint64_t new_bytes) {
  pending_bytes_ = pending_bytes_ - old_bytes + new_bytes;
  memory_.resize(pending_bytes_);
}

bool ResultWriter::continue_multipart(Queue& queue, Results& batch) {
  const auto& multipart = batch.front().multipart;
  if (!multipart || multipart->is_complete()) return false;
  queue.results.push_back(std::move(batch.front()));
  return true;
}

void ResultWriter::on_batch_durable(Queue& queue, Results batch) {
  queue.batch_limit = std::min(queue.batch_limit * 2, kMaxBatchResults);
  if (continue_multipart(queue, batch)) return;
  for (const auto& pending : batch) remove_pending(pending.result);
  for (const auto& pending : batch) listener_(pending.result);
}

void ResultWriter::on_batch_rejected(Queue& queue, Results batch) {
  if (batch.size() == 1) {
    set_aside(std::move(batch.front()));
    return;
  }
  queue.batch_limit = batch.size() / 2;
  std::move(batch.rbegin(), batch.rend(), std::front_inserter(queue.results));
}

void ResultWriter::set_aside(PendingResult pending) {
  ++pending.rejections;
  const std::uint64_t bytes = estimated_bytes(pending.result);
  const RejectedResultAction action =
      rejection_handler_ ? rejection_handler_(pending.result) : RejectedResultAction::kRetry;
  const bool is_dropped = action == RejectedResultAction::kDrop;
  const Duration pause = is_dropped ? Duration{0} : pending.pauses.next();
  log_event(Event::kResultRejected,
            {{"job", pending.result.job},
             {"item", store_.item_id(pending.result.job, pending.result.item)},
             {"bytes", std::to_string(bytes)},
             {"rejections", std::to_string(pending.rejections)},
             {"action", is_dropped ? "drop" : "retry"},
             {"wait_ms", milliseconds_text(pause)}});
  const bool is_replaced = bytes != estimated_bytes(pending.result);
  if (is_replaced) pending.multipart = store_.multipart_of(pending.result);
  replace_pending_bytes(bytes, estimated_bytes(pending.result));
  if (is_dropped) {
    remove_pending(pending.result);
    return;
  }
  asio::co_spawn(executor_, requeue_after(pause, std::move(pending)), asio::detached);
}

asio::awaitable<void> ResultWriter::requeue_after(Duration pause, PendingResult pending) {
  Timer timer(executor_, pause);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  enqueue(std::move(pending));
}

}  // namespace stoathold
