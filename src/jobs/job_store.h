/// @file
/// Access to batch jobs in the durable log: submission, results, cancellation and requests. Every
/// node sees the same jobs.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>

#include "base/memory_budget.h"
#include "base/timer.h"
#include "jobs/job_data_log.h"
#include "jobs/job_records.h"
#include "jobs/job_table.h"
#include "jobs/listed_results.h"
#include "jobs/multipart_result.h"
#include "store/append_with_retry.h"
#include "store/coalesced_read.h"
#include "store/resumable_newest_read.h"
#include "store/topic_cache.h"

namespace stoathold {

/// Outcome of a submission.
enum class SubmitStatus : std::uint8_t {
  kAccepted,   ///< The job and its requests are durable.
  kQuota,      ///< Over the limit on queued tokens; the job will not be run.
  kRefused,    ///< The log could not store it; the job will not be run.
  kUncertain,  ///< The log did not answer; the job may be accepted.
  kInvalid,    ///< The log rejects it permanently, e.g. because of its size.
};

/// Returns the name of the status for logs.
std::string_view to_string(SubmitStatus status);

/// Outcome of a lookup.
enum class LookupStatus : std::uint8_t {
  kFound,
  kAbsent,     ///< There is no such job.
  kUncertain,  ///< The log could not be read.
};

/// A job to submit. `submit` sets the log positions of the items' requests.
struct NewJob {
  JobSubmission submission;
  std::vector<std::string> requests;    ///< One per item, encoded.
  std::uint64_t max_queued_tokens = 0;  ///< Limit per tenant on the route; 0: no limit.
};

/// A page of results. The pointers are valid until the next suspension of the caller.
struct ResultPage {
  LookupStatus status = LookupStatus::kUncertain;
  const JobEntry* job = nullptr;
  const ListedResults* results = nullptr;
};

/// The jobs of one partition of the jobs topic, as far as this node has read it.
enum class JobsInPartition : std::uint8_t {
  kNone,
  kFinished,  ///< Each is finished or cancelled, and not erased yet.
  kOpen,
};

/// How far a node has read the jobs of a host.
struct JobsPosition {
  RecordOffset read_to = 0;
  RecordOffset end = 0;  ///< End of their partition as last reported by the log.
};

/// Timeout and retry backoff of the store's operations. Tests use shorter ones.
struct JobStoreTiming {
  /// Time after which a write whose outcome the log has not confirmed is abandoned.
  Duration operation_timeout = std::chrono::milliseconds(3000);
  BackoffBounds retries{};
};

/// A page of results ends once its texts reach this size.
inline constexpr std::uint64_t kResultPageBytes = 900UL * 1024;

/// Maximum time that a caller waits for a read of results. The read continues after that, and the
/// caller can poll again.
inline constexpr Duration kCallerReadTimeout = std::chrono::seconds(1);

/// One node's access to all jobs. Not thread-safe; must outlive the calls in flight.
class JobStore {
 public:
  JobStore(boost::asio::any_io_executor executor, RecordLog& log, std::string writer_name,
           JobStoreTiming timing = {});

  /// Sets the listener that is called for each open job of a partition that is followed, or read
  /// with `read_unfollowed`, once it has been read to the end, and after that for each job that is
  /// added, cancelled or finished. It is not called earlier: a starting node reads the submissions
  /// of the last minutes before the finished marks that most of these jobs have.
  void set_listener(JobTable::Listener listener) { listener_ = std::move(listener); }
  /// Sets the listener that is called when a partition has been loaded and those of all followed
  /// hosts are loaded.
  void set_loaded_listener(std::function<void()> listener) {
    loaded_listener_ = std::move(listener);
  }
  /// Lets other nodes take part in the reads of each partition of the jobs topic that is followed.
  /// Called before any host is followed.
  using ReplicaSharer = std::function<void(const std::shared_ptr<PartitionReplica>&, TopicCache&)>;
  void set_replica_sharer(ReplicaSharer sharer) { replica_sharer_ = std::move(sharer); }
  /// Starts to follow the jobs of a host.
  void follow_host(const std::string& host);
  /// Returns whether a partition of the jobs topic contains the jobs of a followed host.
  [[nodiscard]] bool is_followed(std::uint32_t partition) const;
  /// Reads a partition of the jobs topic that is not followed, from the log itself: other nodes may
  /// not have read it. From then on its jobs are reported like those of followed hosts.
  boost::asio::awaitable<LogStatus> read_unfollowed(std::uint32_t partition);
  [[nodiscard]] JobsInPartition jobs_in(std::uint32_t partition) const;
  /// Sets whether this node runs jobs; initially true. While it does, new jobs of the followed
  /// hosts are read promptly; otherwise they are polled rarely and read when a caller asks for one.
  void set_running_jobs(bool running);

  /// Makes a job durable. Idempotent: a job that is submitted several times is accepted once.
  boost::asio::awaitable<SubmitStatus> submit(NewJob job);
  /// Looks a job up. Reads the log to its end before reporting that the job does not exist.
  boost::asio::awaitable<LookupStatus> find(std::string host, JobKey key, const JobEntry*& job);
  /// Returns how far this node has read the jobs of a host, for logs.
  [[nodiscard]] JobsPosition jobs_position(const std::string& host) const;
  /// Reads a page of results with their texts, starting at a position; waits up to `wait` for the
  /// first one. If this node knows results for the page, it waits only briefly for later ones. If a
  /// text cannot be read now, the page ends before it; if it is the one at `position`, the status
  /// is `kUncertain`.
  boost::asio::awaitable<ResultPage> read_results(std::string host, JobKey key,
                                                  std::uint64_t position, Duration wait);
  /// Cancels a job; the cancellation is durable once this returns `kOk`.
  boost::asio::awaitable<LogStatus> cancel(std::string host, JobKey key);
  /// Reads the request of an item.
  boost::asio::awaitable<LookupStatus> read_request(JobKey key, std::uint32_t index,
                                                    ItemRequest& request);
  /// Reads the requests of as many of the leading items of `wanted` as fit into one read.
  /// @param wanted item indices, ascending, not empty.
  boost::asio::awaitable<RequestsRead> read_requests(JobKey key, std::vector<std::uint32_t> wanted,
                                                     AdaptiveReadLimits bounds);

  /// Updates the list of a job's results from the log, without separately stored texts. Concurrent
  /// calls share one read, which continues after its waiters have given up.
  boost::asio::awaitable<LogStatus> refresh_results(JobKey key,
                                                    TimePoint deadline = TimePoint::max());
  /// Updates the progress of a job's items from the log.
  boost::asio::awaitable<LogStatus> refresh_progress(JobKey key, AdaptiveReadLimits bounds);
  /// Returns the records of a result, to be written with one append. Each call uses new keys.
  std::vector<KeyedRecord> records_of(const ItemResult& result);
  /// Returns the appends of a result whose text does not fit into one record; nothing if it fits,
  /// or if the job does not allow separate texts.
  std::optional<MultipartResult> multipart_of(const ItemResult& result);
  /// Returns the bytes of results read by this node.
  [[nodiscard]] const ResultBytes& result_bytes() const { return data_.result_bytes(); }
  /// Returns the partition of a job's results, progress or requests.
  [[nodiscard]] PartitionName partition_of(JobData data, const JobKey& key) const;
  /// Appends records without retries. Without an answer they may be durable or become so later.
  boost::asio::awaitable<LogStatus> append_records(PartitionName partition,
                                                   std::vector<KeyedRecord> records);
  /// Deletes the requests and the progress of a finished or cancelled job, which are no longer
  /// needed, to keep reads for open jobs small. If this fails, `erase` deletes them.
  boost::asio::awaitable<void> delete_requests(JobKey key);
  /// Appends a mark of the given kind to a job, such as finished or progress.
  boost::asio::awaitable<LogStatus> mark(std::string host, JobRecordKind kind, JobKey key,
                                         std::string value);
  /// Deletes all records of a job.
  boost::asio::awaitable<void> erase(std::string host, JobKey key);
  /// Charges the cached results to the budget, which must outlive the store.
  void charge_to(MemoryBudget& budget);
  /// Drops the cached results and progress of erased jobs. If the memory budget is exhausted, also
  /// drops the results of finished jobs; they are read again on demand.
  void drop_erased_jobs();

  /// Returns a name for use in keys that is unique over all calls and processes.
  std::string unique_name();
  /// Returns the id of an item; empty if this node does not know the job.
  [[nodiscard]] std::string item_id(const JobKey& key, std::uint32_t item) const;
  [[nodiscard]] const ListedResults& results_of(const JobKey& key);
  /// Returns the progress of an item as last read from the log, or null.
  [[nodiscard]] const ItemProgress* progress_of(const JobKey& key, std::uint32_t item);
  /// Calls `visit` for each job that is reported to the listener.
  void for_each_job(const std::function<void(const JobKey&, const JobEntry&)>& visit) const;
  [[nodiscard]] const LogLimits& limits() const { return log_.limits(); }

 private:
  /// State of the reads of one job's results, shared by concurrent callers.
  struct ResultReads {
    CoalescedRead refresh;
    ResumableNewestRead newest;
    AdaptiveReadLimits bounds;  ///< Bounds of the next read of listings.
    CoalescedRead texts;
    AdaptiveReadLimits text_bounds;
    /// Lowest position that a caller waits for and no read covers yet.
    std::uint64_t first_needed_text = std::numeric_limits<std::uint64_t>::max();
  };
  /// One partition of the jobs topic: its table, and the replica that updates it.
  struct JobsPartition {
    std::unique_ptr<JobTable> table;
    std::unique_ptr<TopicCache> cache;  ///< Passes records on to `table`.
    std::shared_ptr<PartitionReplica> replica;
    bool followed = false;
    bool reported = false;  ///< Whether its jobs are reported to the listener.
    bool shared = false;    ///< Whether other nodes take part in its reads.
    std::unique_ptr<Timer>
        idle_timer;  ///< Delays the next poll; cancelled when the node runs jobs.
  };

  /// Returns whether a job fits within its limit on queued tokens.
  [[nodiscard]] static bool fits_token_quota(const JobTable& table, const NewJob& job);
  /// Returns the partition of a host's jobs, whose reads are shared with other nodes.
  JobsPartition& partition_for_host(const std::string& host);
  /// Returns a partition; creates its replica on the first call.
  JobsPartition& partition_at(std::uint32_t number);
  /// Reports the jobs of a partition from now on.
  void report_jobs(JobsPartition& partition);
  /// Calls the listener for all open jobs of a loaded partition.
  void notify_open_jobs(const JobsPartition& partition);
  void partition_loaded(const JobsPartition& loaded);
  /// Returns the job, searching the partitions of all hosts, or null.
  [[nodiscard]] const JobEntry* find_entry(const JobKey& key) const;
  boost::asio::awaitable<SubmitStatus> append_job(JobsPartition& partition, JobKey key, NewJob& job,
                                                  TimePoint deadline);
  /// Deletes the data that only running a job needs: its requests and its progress.
  boost::asio::awaitable<LogStatus> delete_run_data(JobKey key, JobSubmission submission,
                                                    TimePoint deadline);
  /// Deletes the requests of a submission attempt that was not accepted; runs in the background.
  boost::asio::awaitable<void> delete_refused_requests(JobKey key, JobSubmission submission);
  boost::asio::awaitable<SubmitStatus> append_submission(JobsPartition& partition, JobKey key,
                                                         NewJob& job, TimePoint deadline);
  /// How new results are read.
  enum class ResultReadMode : std::uint8_t {
    kKey,     ///< By key: listings without texts.
    kOffset,  ///< By offset: with texts, if the log has that history.
  };
  std::shared_ptr<ResultReads> result_reads_for(const JobKey& key);
  boost::asio::awaitable<LogStatus> refresh_results(JobKey key, TimePoint deadline,
                                                    ResultReadMode mode);
  boost::asio::awaitable<LogStatus> read_new_results(JobKey key, std::shared_ptr<ResultReads> reads,
                                                     ResultReadMode mode);
  /// Updates the list of results for a caller whose position is beyond its end.
  boost::asio::awaitable<LogStatus> refresh_to_position(JobKey key, std::uint64_t position,
                                                        TimePoint deadline);
  /// Reads the missing texts of the page at a position, until `deadline`.
  boost::asio::awaitable<void> load_texts(JobKey key, std::uint64_t position, TimePoint deadline);
  /// Reads some texts, starting at the lowest position that a caller waits for.
  boost::asio::awaitable<LogStatus> read_texts(JobKey key, std::shared_ptr<ResultReads> reads);
  /// Updates the memory charge to the size of the cached results.
  void update_result_memory();
  /// Drops the results of finished jobs that are not being read, until the budget has room.
  void drop_finished_results();
  boost::asio::awaitable<void> sleep_for(Duration duration);
  boost::asio::awaitable<void> follow_partition(JobsPartition& partition);

  boost::asio::any_io_executor executor_;
  RecordLog& log_;
  std::string writer_name_;
  JobStoreTiming timing_;
  std::uint64_t next_unique_ = 0;
  JobDataLog data_;
  ReplicaSharer replica_sharer_;  ///< Null: partitions are read by this node alone.
  bool running_jobs_ = true;
  JobTable::Listener listener_;
  std::function<void()> loaded_listener_;
  std::map<std::uint32_t, JobsPartition> jobs_;
  /// Cached results of the jobs that callers asked for or this node runs.
  std::map<JobKey, ListedResults> results_;
  MemoryBudget* budget_ = nullptr;
  MemoryReservation result_memory_;
  std::map<JobKey, JobProgress> progress_;
  std::map<JobKey, std::shared_ptr<ResultReads>> result_reads_;
};

}  // namespace stoathold
