#include "jobs/job_data_log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <optional>
#include <utility>

#include "base/timer.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Maximum concurrent reads of results and requests by key, for callers and the node's own jobs
/// together. Without a limit, none of 8 concurrent reads completed in time on a 30 Mbit/s link.
constexpr int kMaxConcurrentKeyReads = 3;
/// Bytes added to the size of a read of requests.
constexpr std::uint64_t kReadMarginBytes = 1024;
/// Maximum bytes of requests in one append; a larger request is appended alone. The requests of
/// most jobs fit into one append.
constexpr std::uint64_t kMaxRequestAppendBytes = 512UL * 1024;
/// Bytes of a listing, including the framing of its record and of its text record.
constexpr std::uint64_t kListingBytes = 2 * kRecordFramingBytes;
/// Maximum keys deleted by one append; each takes about 80 bytes.
constexpr std::size_t kDeletionsPerAppend = 500;
/// Bytes of a deletion besides its key: the lengths of the record and of the key.
constexpr std::uint64_t kDeletionFramingBytes = 5;

/// Reassembles an item's request from its chunks.
/// @return nothing if a chunk is missing or the request cannot be decoded.
std::optional<ItemRequest> assemble_request(const std::map<std::string, std::string>& chunks,
                                            const JobKey& key, const JobSubmission& submission,
                                            std::uint32_t index) {
  const JobItem& item = submission.items[index];
  std::string encoded;
  for (std::uint32_t chunk = 0; chunk < item.request_records; ++chunk) {
    const auto found =
        chunks.find(request_record_key(key, submission.request_writer, index, chunk));
    if (found == chunks.end()) return std::nullopt;
    encoded += found->second;
  }
  ItemRequest request;
  return decode(encoded, request) ? std::optional(std::move(request)) : std::nullopt;
}

/// Returns the key range of the requests of the items from `first` through `last`.
KeyRange request_key_range(const JobKey& key, const JobSubmission& submission, std::uint32_t first,
                           std::uint32_t last) {
  const std::string& writer = submission.request_writer;
  KeyRange range;
  range.after = request_record_key(key, writer, first, 0);
  range.after.pop_back();
  range.through = request_record_key(key, writer, last, submission.items[last].request_records - 1);
  return range;
}

}  // namespace

JobDataLog::JobDataLog(asio::any_io_executor executor, RecordLog& log, BackoffBounds retries)
    : executor_(std::move(executor)),
      log_(log),
      retries_(retries),
      append_size_(kMaxRequestAppendBytes),
      key_read_turns_(kMaxConcurrentKeyReads) {}

PartitionName JobDataLog::partition_of(JobData data, const JobKey& key,
                                       std::uint32_t topics) const {
  return job_data_partition(data, key, topics, log_.limits().partitions);
}

JobDataLog::RequestAppend JobDataLog::next_append(const JobKey& key, JobSubmission& submission,
                                                  const std::vector<std::string>& requests,
                                                  std::size_t first) const {
  const LogLimits& limits = log_.limits();
  const std::uint64_t chunk_bytes = limits.record_bytes - kRecordFramingBytes;
  const std::uint64_t max_bytes = std::min(limits.call_bytes, append_size_.bytes());
  RequestAppend append;
  // Add as many whole items as fit; an item above the limit is appended alone.
  for (std::size_t index = first; index < submission.items.size(); ++index) {
    const std::string& request = requests[index];
    const std::uint64_t chunks = (request.size() + chunk_bytes - 1) / chunk_bytes;
    const std::uint64_t size = request.size() + chunks * kRecordFramingBytes;
    if (!append.records.empty() && append.bytes + size > max_bytes) break;
    append.first_records.push_back(append.records.size());
    JobItem& item = submission.items[index];
    item.request_bytes = size;
    item.request_records = static_cast<std::uint32_t>(chunks);
    for (std::uint32_t chunk = 0; chunk < chunks; ++chunk) {
      append.records.push_back({request_record_key(key, submission.request_writer,
                                                   static_cast<std::uint32_t>(index), chunk),
                                request.substr(chunk * chunk_bytes, chunk_bytes)});
    }
    append.bytes += size;
  }
  return append;
}

asio::awaitable<LogStatus> JobDataLog::append_requests(JobKey key, JobSubmission& submission,
                                                       const std::vector<std::string>& requests,
                                                       TimePoint deadline) {
  const PartitionName partition = partition_of(JobData::kRequests, key, submission.data_topics);
  Backoff backoff(retries_);
  Timer timer(executor_);
  std::size_t next = 0;
  while (next < submission.items.size()) {
    const RequestAppend append = next_append(key, submission, requests, next);
    if (append.bytes > log_.limits().call_bytes) co_return LogStatus::kRejected;
    const AppendResult result = co_await log_.append(partition, append.records, std::nullopt);
    append_size_.observe(result.status);
    if (result.status == LogStatus::kRejected) co_return result.status;
    if (result.status == LogStatus::kOk) {
      backoff.reset();
      for (const std::size_t first_record : append.first_records) {
        submission.items[next++].request_offset = result.offset + first_record;
      }
      continue;
    }
    const Duration wait = backoff.next();
    if (monotonic_now() + wait >= deadline) co_return result.status;
    timer.expires_after(wait);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return LogStatus::kOk;
}

JobDataLog::RequestSpan JobDataLog::first_span(const JobSubmission& submission,
                                               const std::vector<std::uint32_t>& wanted,
                                               std::uint64_t max_bytes) {
  RequestSpan span;
  std::uint64_t bytes = 0;
  std::uint32_t next = wanted.front();
  for (const std::uint32_t index : wanted) {
    while (next <= index) bytes += submission.items[next++].request_bytes;
    if (!span.items.empty() && bytes > max_bytes) break;
    span.items.push_back(index);
    span.bytes = bytes;
  }
  return span;
}

asio::awaitable<RequestsRead> JobDataLog::read_requests(JobKey key, const JobSubmission& submission,
                                                        std::vector<std::uint32_t> wanted,
                                                        AdaptiveReadLimits bounds) {
  const RequestSpan span = first_span(submission, wanted, bounds.bytes);
  const auto& items = submission.items;
  const std::uint32_t first = span.items.front();
  const std::uint32_t last = span.items.back();
  const PartitionName partition = partition_of(JobData::kRequests, key, submission.data_topics);
  ReadResult read = co_await log_.read(partition, items[first].request_offset,
                                       span.bytes + kReadMarginBytes, Duration{0});
  const bool by_key = read.status == LogStatus::kTruncated;
  if (by_key) {
    const KeyRange range = request_key_range(key, submission, first, last);
    const ReadSemaphore::Permit turn = co_await key_read_turns_.acquire();
    read = co_await log_.read_newest(partition, range, bounds.page_timeout);
  }
  RequestsRead result;
  result.status = read.status;
  if (read.status != LogStatus::kOk) co_return result;
  std::map<std::string, std::string> chunks;
  for (auto& record : read.records) chunks.emplace(std::move(record.key), std::move(record.value));
  for (const std::uint32_t index : span.items) {
    auto request = assemble_request(chunks, key, submission, index);
    if (request) {
      result.found.emplace(index, std::move(*request));
    } else if (by_key || index == first) {
      // In a read by offset, records of other jobs may have displaced the later items, so only the
      // first item is known to be missing.
      result.missing.push_back(index);
    }
  }
  co_return result;
}

asio::awaitable<ResultsRead> JobDataLog::read_results(JobKey key, PartitionName partition,
                                                      RecordOffset next, KeyRange unread,
                                                      AdaptiveReadLimits bounds,
                                                      ResumableNewestRead& newest) {
  ResultsRead result;
  if (next > 0) {
    result.records = co_await log_.read(partition, next, bounds.bytes, Duration{0});
    auto& records = result.records.records;
    result.at_end = next + records.size() >= result.records.end;
    result.records.end = next + records.size();
    std::erase_if(records, [&](const StoredRecord& record) {
      return record.value.empty() || job_of_record_key(record.key) != key;
    });
    count_results(records);
    if (result.records.status != LogStatus::kTruncated) co_return result;
  }
  const ReadSemaphore::Permit turn = co_await key_read_turns_.acquire();
  // Pages kept from an earlier read reflect the end of the log at that time.
  result.at_end = !newest.has_partial_result();
  result.records = co_await newest.run(log_, partition, unread, bounds.page_timeout);
  count_results(result.records.records);
  co_return result;
}

void JobDataLog::count_results(const std::vector<StoredRecord>& records) {
  for (const auto& record : records) {
    const bool text = is_text_record_key(record.key);
    std::uint64_t& bytes = text ? result_bytes_.texts : result_bytes_.listings;
    bytes += record.key.size() + record.value.size();
  }
}

asio::awaitable<ReadResult> JobDataLog::read_texts(PartitionName partition,
                                                   std::vector<ListedResult::UnreadText> wanted,
                                                   AdaptiveReadLimits bounds) {
  if (wanted.front().is_multipart()) {
    ReadResult parts =
        co_await read_text_parts(std::move(partition), std::move(wanted), bounds.page_timeout);
    co_return parts;
  }
  wanted.erase(std::find_if(wanted.begin(), wanted.end(),
                            [](const auto& text) { return text.is_multipart(); }),
               wanted.end());
  std::uint64_t bytes = 0;
  KeyRange range{wanted.front().key, wanted.front().key};
  for (const auto& text : wanted) {
    bytes += text.bytes + kListingBytes;
    range.after = std::min(range.after, text.key);
    range.through = std::max(range.through, text.key);
  }
  const std::uint64_t max_bytes = std::min(bytes, bounds.bytes);
  ReadResult read = co_await log_.read(partition, wanted.front().offset, max_bytes, Duration{0});
  if (read.status == LogStatus::kTruncated) {
    range.after.pop_back();
    const ReadSemaphore::Permit turn = co_await key_read_turns_.acquire();
    read = co_await log_.read_newest(partition, range, bounds.page_timeout);
  }
  std::erase_if(read.records,
                [](const StoredRecord& record) { return !is_text_record_key(record.key); });
  count_results(read.records);
  co_return read;
}

asio::awaitable<ReadResult> JobDataLog::read_text_parts(
    PartitionName partition, std::vector<ListedResult::UnreadText> wanted, Duration page_timeout) {
  const ListedResult::UnreadText& text = wanted.front();
  KeyRange range;
  range.after =
      text.parts_read == 0 ? text.key + "/" : text_part_key(text.key, text.parts_read - 1);
  range.through = text_part_key(text.key, text.part_count - 1);
  const ReadSemaphore::Permit turn = co_await key_read_turns_.acquire();
  ReadResult read = co_await log_.read_newest(std::move(partition), range, page_timeout);
  count_results(read.records);
  co_return read;
}

asio::awaitable<LogStatus> JobDataLog::delete_keys(PartitionName partition,
                                                   std::vector<std::string> keys,
                                                   TimePoint deadline) {
  std::vector<KeyedRecord> deletions;
  std::uint64_t bytes = 0;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    bytes += keys[i].size() + kDeletionFramingBytes;
    deletions.push_back({std::move(keys[i]), {}});
    const bool is_last = i + 1 == keys.size();
    const bool next_fits =
        !is_last && bytes + keys[i + 1].size() + kDeletionFramingBytes <= log_.limits().call_bytes;
    if (next_fits && deletions.size() < kDeletionsPerAppend) continue;
    const AppendResult result = co_await append_with_retry(
        executor_, log_, partition, std::exchange(deletions, {}), deadline, retries_);
    if (result.status != LogStatus::kOk) co_return result.status;
    bytes = 0;
  }
  co_return LogStatus::kOk;
}

asio::awaitable<LogStatus> JobDataLog::delete_requests(JobKey key, JobSubmission submission,
                                                       TimePoint deadline) {
  std::vector<std::string> keys;
  for (std::uint32_t index = 0; index < submission.items.size(); ++index) {
    for (std::uint32_t chunk = 0; chunk < submission.items[index].request_records; ++chunk) {
      keys.push_back(request_record_key(key, submission.request_writer, index, chunk));
    }
  }
  const PartitionName partition = partition_of(JobData::kRequests, key, submission.data_topics);
  co_return co_await delete_keys(partition, std::move(keys), deadline);
}

asio::awaitable<LogStatus> JobDataLog::delete_progress(JobKey key, JobSubmission submission,
                                                       TimePoint deadline) {
  std::vector<std::string> keys;
  for (std::uint32_t index = 0; index < submission.items.size(); ++index) {
    keys.push_back(progress_record_key(key, index));
  }
  const PartitionName partition = partition_of(JobData::kProgress, key, submission.data_topics);
  co_return co_await delete_keys(partition, std::move(keys), deadline);
}

asio::awaitable<LogStatus> JobDataLog::delete_results(JobKey key, std::uint32_t topics,
                                                      TimePoint deadline) {
  const PartitionName partition = partition_of(JobData::kResults, key, topics);
  const KeyRange range = job_key_range(key);
  const ReadResult found = co_await log_.read_newest(partition, range, kPageTimeout);
  if (found.status != LogStatus::kOk) co_return found.status;
  std::vector<std::string> keys;
  for (const auto& record : found.records) {
    // Delete the text before its listing, from which the text's key is derived: an interrupted
    // deletion must not leave a text that can no longer be found.
    // Likewise the parts before their manifest.
    if (is_manifest_key(record.key)) {
      std::vector<std::string> parts = part_keys_of_manifest(record.key);
      std::move(parts.begin(), parts.end(), std::back_inserter(keys));
    }
    ResultListing listing;
    const bool is_listing = decode(record.value, listing);
    if (is_listing && text_part_count(record.key) == 0) {
      keys.push_back(text_record_key(record.key, listing.written_ms));
    }
    keys.push_back(record.key);
  }
  co_return co_await delete_keys(partition, std::move(keys), deadline);
}

}  // namespace stoathold
