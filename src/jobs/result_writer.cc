#include "jobs/result_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Most records of one append; their sizes are bounded by the log's limits as well.
constexpr std::size_t kRecordsPerAppend = 100;
/// Bytes of a record that are not the text.
constexpr std::uint64_t kRecordOverhead = 600;

}  // namespace

ResultWriter::ResultWriter(asio::any_io_executor executor, JobStore& store, Listener listener)
    : executor_(std::move(executor)), store_(store), listener_(std::move(listener)) {}

void ResultWriter::add(ItemResult result) {
  const PartitionName partition = store_.partition_of(JobData::kResults, result.job);
  queues_[partition].results.push_back(std::move(result));
  ++pending_;
  start(partition);
}

void ResultWriter::start(const PartitionName& partition) {
  Queue& queue = queues_[partition];
  if (queue.writing) return;
  queue.writing = true;
  asio::co_spawn(executor_, write(partition), asio::detached);
}

asio::awaitable<void> ResultWriter::write(PartitionName partition) {
  Queue& queue = queues_[partition];
  while (!queue.results.empty()) {
    std::vector<ItemResult> results;
    std::uint64_t bytes = 0;
    while (!queue.results.empty() && results.size() < kRecordsPerAppend) {
      const std::uint64_t size = queue.results.front().text.size() + kRecordOverhead;
      if (!results.empty() && bytes + size > store_.limits().call_bytes) break;
      bytes += size;
      results.push_back(std::move(queue.results.front()));
      queue.results.pop_front();
    }
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
