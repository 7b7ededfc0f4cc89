/// @file
/// Results, progress and requests of batch jobs in the log, read so that little else comes along.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <vector>

#include "jobs/job_records.h"
#include "jobs/listed_results.h"
#include "store/append_size.h"
#include "store/append_until.h"
#include "store/newest_read.h"
#include "store/read_bounds.h"
#include "store/read_turns.h"
#include "store/record_log.h"

namespace stoathold {

/// Requests of items that one read found.
struct RequestsRead {
  LogStatus status = LogStatus::kUnknown;
  std::map<std::uint32_t, ItemRequest> found;  ///< By item. Never more than were asked for.
  std::vector<std::uint32_t> missing;          ///< Items whose request is not where it should be.
};

/// Results of a job that one read found.
struct ResultsRead {
  ReadResult records;
  bool at_end = false;  ///< Nothing more was in the log when it was read.
};

/// What was read of results, for metrics. Of reads by key only what was asked for.
struct ResultBytes {
  std::uint64_t listings = 0;  ///< Keys and values of listings and of whole results.
  std::uint64_t texts = 0;     ///< Keys and values of texts in records of their own.
};

/// Reads and writes what the log holds of a job beside its submission. Keeps nothing. Used on one
/// thread; outlives the calls in flight.
class JobDataLog {
 public:
  JobDataLog(boost::asio::any_io_executor executor, RecordLog& log, BackoffBounds retries);

  /// Returns where a job's records of a kind lie.
  [[nodiscard]] PartitionName partition_of(JobData data, const JobKey& key,
                                           std::uint32_t topics) const;

  /// Makes the requests of a new job's items durable, and fills in where they lie.
  /// @param requests one for each item of the submission.
  boost::asio::awaitable<LogStatus> append_requests(JobKey key, JobSubmission& submission,
                                                    const std::vector<ItemRequest>& requests,
                                                    TimePoint deadline);
  /// Reads the requests of the first of some items, as many as fit into one read.
  /// @param submission outlives the call.
  /// @param wanted item indices, ascending, at least one.
  boost::asio::awaitable<RequestsRead> read_requests(JobKey key, const JobSubmission& submission,
                                                     std::vector<std::uint32_t> wanted,
                                                     ReadBounds bounds);
  /// Reads the results behind those known: what was appended since they were read, or the listings
  /// of all of the job's that may be unknown if the log has dropped that.
  /// @param next where to go on; 0: the listings are read by key.
  /// @param newest keeps the pages of a read of all of the job's; outlives the call.
  boost::asio::awaitable<ResultsRead> read_results(JobKey key, PartitionName partition,
                                                   RecordOffset next, KeyRange unread,
                                                   ReadBounds bounds, NewestRead& newest);
  /// Reads texts of results: as many as fit into one read by offset, or all of them by key if the
  /// log has dropped the first. Texts that were read are in the result also when it failed, and
  /// others may be.
  /// @param wanted ascending by offset, at least one.
  boost::asio::awaitable<ReadResult> read_texts(PartitionName partition,
                                                std::vector<ListedResult::UnreadText> wanted,
                                                ReadBounds bounds);
  [[nodiscard]] const ResultBytes& result_bytes() const { return result_bytes_; }
  /// Deletes the progress of a job's items.
  boost::asio::awaitable<LogStatus> delete_progress(JobKey key, JobSubmission submission,
                                                    TimePoint deadline);
  /// Deletes the requests that one try to submit a job has appended.
  boost::asio::awaitable<LogStatus> delete_requests(JobKey key, JobSubmission submission,
                                                    TimePoint deadline);
  /// Deletes the results of a job.
  boost::asio::awaitable<LogStatus> delete_results(JobKey key, std::uint32_t topics,
                                                   TimePoint deadline);

 private:
  /// Requests of items in a row that go into one append.
  struct RequestAppend {
    std::vector<KeyedRecord> records;
    std::vector<std::size_t> first_records;  ///< Of each item, by its place in `records`.
    std::uint64_t bytes = 0;
  };
  /// Puts an append together, and fills in the sizes of its items.
  /// @param first the item that it begins with.
  [[nodiscard]] RequestAppend next_append(const JobKey& key, JobSubmission& submission,
                                          const std::vector<ItemRequest>& requests,
                                          std::size_t first) const;
  /// Items in a row whose requests are read with one call.
  struct RequestSpan {
    std::vector<std::uint32_t> items;
    std::uint64_t bytes = 0;  ///< From the first to the last, those between them included.
  };
  [[nodiscard]] static RequestSpan first_span(const JobSubmission& submission,
                                              const std::vector<std::uint32_t>& wanted,
                                              std::uint64_t max_bytes);
  void count_results(const std::vector<StoredRecord>& records);
  boost::asio::awaitable<LogStatus> delete_keys(PartitionName partition,
                                                std::vector<std::string> keys, TimePoint deadline);

  boost::asio::any_io_executor executor_;
  RecordLog& log_;
  BackoffBounds retries_;
  AppendSize append_size_;
  ResultBytes result_bytes_;
  ReadTurns
      key_read_turns_;  ///< Of reads of results and requests by key, whose pages have up to 1 MB.
};

}  // namespace stoathold
