#include "jobs/result_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Most records of one append; their sizes are bounded by the log's limits as well.
constexpr std::size_t kRecordsPerAppend = 100;
/// Appends under way at once.
constexpr int kMostWriters = 4;
/// Bytes of a record that are not the text.
constexpr std::uint64_t kRecordOverhead = 600;

}  // namespace

ResultWriter::ResultWriter(asio::any_io_executor executor, JobStore& store, Listener listener)
    : executor_(std::move(executor)), store_(store), listener_(std::move(listener)) {}

void ResultWriter::add(ItemResult result) {
  const PartitionName partition = store_.partition_of(JobData::kResults, result.job);
  const auto [queue, added] = queues_.try_emplace(partition);
  queue->second.push_back(std::move(result));
  ++pending_;
  if (!added) return;
  waiting_.push_back(partition);
  start_writers();
}

void ResultWriter::start_writers() {
  if (waiting_.empty() || writers_ >= kMostWriters) return;
  ++writers_;
  asio::co_spawn(executor_, write_waiting(), asio::detached);
}

asio::awaitable<void> ResultWriter::write_waiting() {
  while (!waiting_.empty()) {
    const PartitionName partition = waiting_.front();
    waiting_.pop_front();
    co_await write(partition);
  }
  --writers_;
}

ResultWriter::Queue ResultWriter::take_some(Queue& queue) const {
  Queue results;
  std::uint64_t bytes = 0;
  while (!queue.empty() && results.size() < kRecordsPerAppend) {
    bytes += queue.front().text.size() + kRecordOverhead;
    if (!results.empty() && bytes > store_.limits().call_bytes) break;
    results.push_back(std::move(queue.front()));
    queue.pop_front();
  }
  return results;
}

asio::awaitable<void> ResultWriter::write(PartitionName partition) {
  Queue& queue = queues_[partition];
  while (!queue.empty()) {
    const Queue results = take_some(queue);
    const std::function<std::vector<KeyedRecord>()> make = [&] {
      std::vector<KeyedRecord> records;
      for (const auto& result : results) {
        records.push_back(
            {result_record_key(result.job, result.item, store_.unique_name()), encode(result)});
      }
      return records;
    };
    const std::function<bool()> forever = [] { return true; };
    co_await store_.append_results(partition, make, forever);
    pending_ -= results.size();
    for (const auto& result : results) listener_(result);
  }
  queues_.erase(partition);
}

}  // namespace stoathold
