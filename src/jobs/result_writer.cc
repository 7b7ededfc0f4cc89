#include "jobs/result_writer.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>

#include "base/timer.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Maximum bytes of one append.
constexpr std::uint64_t kMaxAppendBytes = 256UL * 1024;
/// Maximum concurrent appends: 1 MB in total, which takes 0.3 s on a 30 Mbit/s link.
constexpr int kMaxConcurrentWriters = 4;
/// Upper estimate of the bytes of a result's records without the text.
constexpr std::uint64_t kRecordOverheadBytes = 600;

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
  const PartitionName partition = store_.partition_of(JobData::kResults, result.job);
  const auto [queue, added] = queues_.try_emplace(partition);
  pending_bytes_ += estimated_bytes(result);
  memory_.resize(pending_bytes_);
  queue->second.push_back(std::move(result));
  ++pending_;
  if (!added) return;
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

ResultWriter::Queue ResultWriter::take_batch(Queue& queue) const {
  const std::uint64_t max_bytes = std::min(append_size_.bytes(), store_.limits().call_bytes);
  Queue results;
  std::uint64_t bytes = 0;
  while (!queue.empty()) {
    bytes += estimated_bytes(queue.front());
    if (!results.empty() && bytes > max_bytes) break;
    results.push_back(std::move(queue.front()));
    queue.pop_front();
  }
  return results;
}

std::vector<KeyedRecord> ResultWriter::records_of(const Queue& results) const {
  std::vector<KeyedRecord> records;
  for (const auto& result : results) {
    std::vector<KeyedRecord> own = store_.records_of(result);
    std::move(own.begin(), own.end(), std::back_inserter(records));
  }
  return records;
}

asio::awaitable<void> ResultWriter::write(PartitionName partition) {
  Queue& queue = queues_[partition];
  Backoff backoff;
  Timer timer(executor_);
  while (!queue.empty()) {
    Queue results = take_batch(queue);
    std::vector<KeyedRecord> records = records_of(results);
    const LogStatus status = co_await store_.append_records(partition, std::move(records));
    append_size_.observe(status);
    if (status == LogStatus::kOk) {
      backoff.reset();
      pending_ -= results.size();
      for (const auto& result : results) pending_bytes_ -= estimated_bytes(result);
      memory_.resize(pending_bytes_);
      for (const auto& result : results) listener_(result);
      continue;
    }
    std::move(results.rbegin(), results.rend(), std::front_inserter(queue));
    timer.expires_after(backoff.next());
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  queues_.erase(partition);
}

}  // namespace stoathold
