// Reads of results by a job store: first the list of a job's results, then the requested texts.
#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "jobs/job_store.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Maximum time that a read waits before it checks once more for a new result.
constexpr Duration kResultWait = std::chrono::milliseconds(700);
/// Maximum bytes of a part of a text, which is appended again whole if the call times out.
constexpr std::uint64_t kMaxTextPartBytes = 128UL * 1024;

/// Maximum time that a caller waits for later results if this node knows some for the page. A read
/// takes about 10 ms.
constexpr Duration kKnownPageTimeout = std::chrono::milliseconds(100);

/// Returns whether each item of a job is listed.
bool is_complete(const JobEntry& job, const ListedResults& results) {
  return results.listed().size() >= job.submission.items.size();
}

}  // namespace

std::vector<KeyedRecord> JobStore::records_of(const ItemResult& result) {
  const JobEntry* entry = find_entry(result.job);
  const bool split = entry != nullptr && entry->submission.split_results;
  return result_records(result, unique_name(), wall_clock_ms(), split);
}

std::optional<MultipartResult> JobStore::multipart_of(const ItemResult& result) {
  const JobEntry* entry = find_entry(result.job);
  const bool split = entry != nullptr && entry->submission.split_results;
  const std::uint64_t max_record_bytes = log_.limits().record_bytes - kRecordFramingBytes;
  if (!split || result.text.size() <= max_record_bytes) return std::nullopt;
  const std::uint64_t part_bytes = std::min(max_record_bytes, kMaxTextPartBytes);
  return MultipartResult(result, unique_name(), wall_clock_ms(), part_bytes);
}

std::shared_ptr<JobStore::ResultReads> JobStore::result_reads_for(const JobKey& key) {
  std::shared_ptr<ResultReads>& kept = result_reads_[key];
  if (!kept) kept = std::make_shared<ResultReads>();
  return kept;
}

asio::awaitable<ResultPage> JobStore::read_results(std::string host, JobKey key,
                                                   std::uint64_t position, Duration wait) {
  ResultPage page;
  page.status = co_await find(host, key, page.job);
  if (page.status != LookupStatus::kFound) co_return page;
  const bool is_past_end = position >= page.job->submission.items.size();
  const auto is_read = [&] { return results_[key].listed().size() > position; };
  const bool was_read = is_read();
  TimePoint deadline = monotonic_now() + kCallerReadTimeout;
  if (!is_past_end && !was_read) {
    LogStatus status = co_await refresh_to_position(key, position, deadline);
    if (status == LogStatus::kOk && wait.count() > 0 && !is_read()) {
      co_await sleep_for(std::min(wait, kResultWait));
      deadline = monotonic_now() + kCallerReadTimeout;
      status = co_await refresh_to_position(key, position, deadline);
    }
    if (status != LogStatus::kOk) page.status = LookupStatus::kUncertain;
    if (status != LogStatus::kOk) co_return page;
  } else if (was_read && !is_complete(*page.job, results_[key])) {
    // If it takes longer, the page holds what is known, and a later page what the read finds.
    co_await refresh_results(key, monotonic_now() + kKnownPageTimeout);
  }
  if (!is_past_end) co_await load_texts(key, position, deadline);
  page.job = partition_for_host(host).table->find(key);
  page.results = &results_[key];
  if (page.job == nullptr) page.status = LookupStatus::kAbsent;
  if (page.job != nullptr && is_read() && !page.results->listed()[position].has_text()) {
    page.status = LookupStatus::kUncertain;
  }
  co_return page;
}

asio::awaitable<LogStatus> JobStore::refresh_to_position(JobKey key, std::uint64_t position,
                                                         TimePoint deadline) {
  // Polls reach any node, and most nodes are behind the caller, who already has the texts in
  // between. Read by offset, with texts, only if this node continues exactly at the position.
  const ListedResults& known = results_[key];
  const bool is_next_position = known.next_offset() > 0 && known.listed().size() == position;
  const ResultReadMode mode = is_next_position ? ResultReadMode::kOffset : ResultReadMode::kKey;
  co_return co_await refresh_results(std::move(key), deadline, mode);
}

asio::awaitable<LogStatus> JobStore::refresh_results(JobKey key, TimePoint deadline) {
  co_return co_await refresh_results(std::move(key), deadline, ResultReadMode::kKey);
}

asio::awaitable<LogStatus> JobStore::refresh_results(JobKey key, TimePoint deadline,
                                                     ResultReadMode mode) {
  const std::shared_ptr<ResultReads> reads = result_reads_for(key);
  // Callers with different modes may share a read: both modes update the list.
  const CoalescedRead::Read read = [this, key, reads, mode] {
    return read_new_results(key, reads, mode);
  };
  co_return co_await reads->refresh.run(read, deadline);
}

asio::awaitable<LogStatus> JobStore::read_new_results(JobKey key,
                                                      std::shared_ptr<ResultReads> reads,
                                                      ResultReadMode mode) {
  const PartitionName partition = partition_of(JobData::kResults, key);
  while (true) {
    const RecordOffset next = mode == ResultReadMode::kKey ? 0 : results_[key].next_offset();
    const KeyRange unread = results_[key].unread_range(key);
    ResultsRead read =
        co_await data_.read_results(key, partition, next, unread, reads->bounds, reads->newest);
    const LogStatus status = read.records.status;
    if (status == LogStatus::kUnknown) reads->bounds.decrease();
    if (status != LogStatus::kOk) co_return status;
    results_[key].add(std::move(read.records));
    update_result_memory();
    if (read.at_end) co_return status;
    // Then read what was appended while the pages were read, possibly during earlier reads.
    mode = ResultReadMode::kOffset;
  }
}

asio::awaitable<void> JobStore::load_texts(JobKey key, std::uint64_t position, TimePoint deadline) {
  const std::shared_ptr<ResultReads> reads = result_reads_for(key);
  const CoalescedRead::Read read = [this, key, reads] { return read_texts(key, reads); };
  while (!results_[key].unread_texts(position, kResultPageBytes).empty()) {
    reads->first_needed_text = std::min(reads->first_needed_text, position);
    const LogStatus status = co_await reads->texts.run(read, deadline);
    if (status != LogStatus::kOk) co_return;
  }
}

asio::awaitable<LogStatus> JobStore::read_texts(JobKey key, std::shared_ptr<ResultReads> reads) {
  const std::uint64_t position =
      std::exchange(reads->first_needed_text, std::numeric_limits<std::uint64_t>::max());
  std::vector<ListedResult::UnreadText> wanted =
      results_[key].unread_texts(position, kResultPageBytes);
  if (wanted.empty()) co_return LogStatus::kOk;
  const std::string first_key = wanted.front().key;
  const PartitionName partition = partition_of(JobData::kResults, key);
  ReadResult read = co_await data_.read_texts(partition, std::move(wanted), reads->text_bounds);
  const LogStatus status = read.status;
  if (status == LogStatus::kOk) reads->text_bounds.increase();
  if (status == LogStatus::kUnknown) reads->text_bounds.decrease();
  results_[key].add_texts(std::move(read.records));
  update_result_memory();
  if (status != LogStatus::kOk) co_return status;
  // A text that is missing at its listed location is an error and never returned as empty.
  const auto missing = results_[key].unread_texts(position, kResultPageBytes);
  const bool first_text_read = missing.empty() || missing.front().key != first_key;
  co_return first_text_read ? LogStatus::kOk : LogStatus::kUnknown;
}

}  // namespace stoathold
