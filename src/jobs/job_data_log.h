/// @file
/// Access to the results, progress and requests of batch jobs in the log, with reads that transfer
/// little unrelated data.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <vector>

#include "jobs/job_records.h"
#include "jobs/listed_results.h"
#include "store/adaptive_append_size.h"
#include "store/adaptive_read_limits.h"
#include "store/append_with_retry.h"
#include "store/read_semaphore.h"
#include "store/record_log.h"
#include "store/resumable_newest_read.h"

namespace stoathold {

/// Result of one read of item requests.
struct RequestsRead {
  LogStatus status = LogStatus::kUnknown;
  std::map<std::uint32_t, ItemRequest> found;  ///< By item; only requested items.
  std::vector<std::uint32_t> missing;          ///< Items whose request is not in the log.
};

/// Result of one read of the results of a job.
struct ResultsRead {
  ReadResult records;
  bool at_end = false;  ///< The read reached the end of the log.
};

/// Bytes of results read, for metrics. Reads by key count only the requested range.
struct ResultBytes {
  std::uint64_t listings = 0;  ///< Keys and values of listings and of inline results.
  std::uint64_t texts = 0;     ///< Keys and values of separate text records.
};

/// Reads and writes the log records of a job other than its submission. Caches nothing. Not
/// thread-safe; must outlive the calls in flight.
class JobDataLog {
 public:
  JobDataLog(boost::asio::any_io_executor executor, RecordLog& log, BackoffBounds retries);

  /// Returns the partition that contains a job's records of a kind.
  [[nodiscard]] PartitionName partition_of(JobData data, const JobKey& key,
                                           std::uint32_t topics) const;

  /// Makes the requests of a new job's items durable, and sets their log positions in the
  /// submission.
  /// @param requests one request per item of the submission.
  boost::asio::awaitable<LogStatus> append_requests(JobKey key, JobSubmission& submission,
                                                    const std::vector<std::string>& requests,
                                                    TimePoint deadline);
  /// Reads the requests of as many of the leading items of `wanted` as fit into one read.
  /// @param submission must outlive the call.
  /// @param wanted item indices, ascending, not empty.
  boost::asio::awaitable<RequestsRead> read_requests(JobKey key, const JobSubmission& submission,
                                                     std::vector<std::uint32_t> wanted,
                                                     AdaptiveReadLimits bounds);
  /// Reads the results after those already known: the records appended since, or, if the log has
  /// truncated that part of its history, the listings in the key range `unread`.
  /// @param next offset to continue from; 0: read the listings by key.
  /// @param newest keeps the pages of an incomplete read by key; must outlive the call.
  boost::asio::awaitable<ResultsRead> read_results(JobKey key, PartitionName partition,
                                                   RecordOffset next, KeyRange unread,
                                                   AdaptiveReadLimits bounds,
                                                   ResumableNewestRead& newest);
  /// Reads texts of results: as many as fit into one read by offset, or all of them by key if the
  /// log has truncated the first one. A failed read also returns the texts that it got. The result
  /// may contain texts that were not requested. A text in parts is read alone, by key.
  /// @param wanted ascending by offset, not empty.
  boost::asio::awaitable<ReadResult> read_texts(PartitionName partition,
                                                std::vector<ListedResult::UnreadText> wanted,
                                                AdaptiveReadLimits bounds);
  [[nodiscard]] const ResultBytes& result_bytes() const { return result_bytes_; }
  /// Deletes the progress of a job's items.
  boost::asio::awaitable<LogStatus> delete_progress(JobKey key, JobSubmission submission,
                                                    TimePoint deadline);
  /// Deletes the requests that one submission attempt appended.
  boost::asio::awaitable<LogStatus> delete_requests(JobKey key, JobSubmission submission,
                                                    TimePoint deadline);
  /// Deletes the results of a job.
  boost::asio::awaitable<LogStatus> delete_results(JobKey key, std::uint32_t topics,
                                                   TimePoint deadline);

 private:
  /// Requests of consecutive items that are written with one append.
  struct RequestAppend {
    std::vector<KeyedRecord> records;
    std::vector<std::size_t> first_records;  ///< Index in `records` of each item's first record.
    std::uint64_t bytes = 0;
  };
  /// Builds the next append, and sets the sizes of its items in the submission.
  /// @param first index of its first item.
  [[nodiscard]] RequestAppend next_append(const JobKey& key, JobSubmission& submission,
                                          const std::vector<std::string>& requests,
                                          std::size_t first) const;
  /// Items whose requests are read with one call.
  struct RequestSpan {
    std::vector<std::uint32_t> items;
    std::uint64_t bytes = 0;  ///< Bytes from the first to the last, including items in between.
  };
  [[nodiscard]] static RequestSpan first_span(const JobSubmission& submission,
                                              const std::vector<std::uint32_t>& wanted,
                                              std::uint64_t max_bytes);
  /// Reads the parts of the first of these texts that were not read yet.
  boost::asio::awaitable<ReadResult> read_text_parts(PartitionName partition,
                                                     std::vector<ListedResult::UnreadText> wanted,
                                                     Duration page_timeout);
  void count_results(const std::vector<StoredRecord>& records);
  boost::asio::awaitable<LogStatus> delete_keys(PartitionName partition,
                                                std::vector<std::string> keys, TimePoint deadline);

  boost::asio::any_io_executor executor_;
  RecordLog& log_;
  BackoffBounds retries_;
  AdaptiveAppendSize append_size_;
  ResultBytes result_bytes_;
  ReadSemaphore key_read_turns_;  ///< Limits concurrent reads by key, whose pages have up to 1 MB.
};

}  // namespace stoathold
