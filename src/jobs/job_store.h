/// @file
/// Batch jobs in the durable log: submission, results, end and bodies, the same at every node.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>

#include "base/memory_budget.h"
#include "base/timer.h"
#include "jobs/job_data_log.h"
#include "jobs/job_records.h"
#include "jobs/job_table.h"
#include "jobs/listed_results.h"
#include "store/append_until.h"
#include "store/newest_read.h"
#include "store/shared_read.h"

namespace stoathold {

/// How a submission ended.
enum class SubmitStatus : std::uint8_t {
  kAccepted,   ///< The whole job is durable.
  kQuota,      ///< It does not fit; it is not and will not be run.
  kRefused,    ///< The log could not take it; it is not and will not be run.
  kUncertain,  ///< The log did not answer; it may be accepted.
  kInvalid,    ///< It can never be taken.
};

/// Returns the status' name for logs.
std::string_view to_string(SubmitStatus status);

/// How certain an answer about a job is.
enum class LookupStatus : std::uint8_t {
  kFound,
  kAbsent,     ///< There is no such job.
  kUncertain,  ///< The log could not be asked.
};

/// A job to submit: the items' places in the log are filled in here.
struct NewJob {
  JobSubmission submission;
  std::vector<ItemRequest> requests;    ///< One for each item.
  std::uint64_t max_queued_tokens = 0;  ///< Of one tenant on the route; 0: no limit.
};

/// A page of results.
struct ResultPage {
  LookupStatus status = LookupStatus::kUncertain;
  const JobEntry* job = nullptr;           ///< Valid until the next wait.
  const ListedResults* results = nullptr;  ///< Valid until the next wait.
};

/// How long the store tries. Shorter in tests.
struct JobStoreTiming {
  /// A submission or an end that the log has not settled after this time is given up.
  Duration operation_timeout = std::chrono::milliseconds(3000);
  BackoffBounds retries{};
};

/// Bytes of texts after which a page of results ends.
inline constexpr std::uint64_t kResultPageBytes = 900UL * 1024;

/// How long a caller waits for a read of results. The read goes on, and the caller comes again.
inline constexpr Duration kCallerPatience = std::chrono::seconds(1);

/// All jobs, seen from one node. Used on one thread; outlives the calls in flight.
class JobStore {
 public:
  JobStore(boost::asio::any_io_executor executor, RecordLog& log, std::string writer_name,
           JobStoreTiming timing = {});

  /// Called for each open job of a followed host once its jobs are read to their end, and from then
  /// on whenever one is added, is ended or is finished. Not before: a node that starts reads the
  /// submissions of the last minutes in front of the marks that most of these jobs are finished.
  void set_listener(JobTable::Listener listener) { listener_ = std::move(listener); }
  /// Called whenever the jobs of the followed hosts are all read to their ends.
  void set_loaded_listener(std::function<void()> listener) {
    loaded_listener_ = std::move(listener);
  }
  /// Follows the jobs of a host from now on.
  void follow_host(const std::string& host);
  /// Whether this node runs jobs. While it does, the jobs of the followed hosts are read as soon as
  /// they come; otherwise only now and then, and when a caller asks for one. On at first.
  void set_running_jobs(bool running);

  /// Makes a job durable, once, however often it is submitted.
  boost::asio::awaitable<SubmitStatus> submit(NewJob job);
  /// Looks a job up; asks the log before it says that there is none.
  boost::asio::awaitable<LookupStatus> find(std::string host, JobKey key, const JobEntry*& job);
  /// Reads the results from a position on, with the texts of a page; waits up to `wait` for the
  /// first. If texts cannot be read now, the page ends in front of the first of them; if that is
  /// the one asked for, the status is `kUncertain`.
  boost::asio::awaitable<ResultPage> read_results(std::string host, JobKey key,
                                                  std::uint64_t position, Duration wait);
  /// Ends a job; done once this returns `kOk`.
  boost::asio::awaitable<LogStatus> end(std::string host, JobKey key);
  /// Reads the request that an item is.
  boost::asio::awaitable<LookupStatus> read_request(JobKey key, std::uint32_t index,
                                                    ItemRequest& request);
  /// Reads the requests of the first of some items of a job, as many as fit into one read.
  /// @param wanted item indices, ascending, at least one.
  boost::asio::awaitable<RequestsRead> read_requests(JobKey key, std::vector<std::uint32_t> wanted,
                                                     ReadBounds bounds);

  /// Brings the list of a job's results up to date with the log, without texts that lie by
  /// themselves. Calls that overlap share their reads. A read goes on after those who wait have
  /// given up.
  boost::asio::awaitable<LogStatus> refresh_results(JobKey key,
                                                    TimePoint deadline = TimePoint::max());
  /// Brings the progress of a job's items up to date with the log.
  boost::asio::awaitable<LogStatus> refresh_progress(JobKey key, ReadBounds bounds);
  /// Returns the records of a result, to be appended together; others each time.
  std::vector<KeyedRecord> records_of(const ItemResult& result);
  /// What was read of results at this node.
  [[nodiscard]] const ResultBytes& result_bytes() const { return data_.result_bytes(); }
  /// Returns the partition that holds a job's results, its progress or its requests.
  [[nodiscard]] PartitionName partition_of(JobData data, const JobKey& key) const;
  /// Appends records once. Without an answer they may be durable or become so.
  boost::asio::awaitable<LogStatus> append_records(PartitionName partition,
                                                   std::vector<KeyedRecord> records);
  /// Deletes the requests and the progress of a job that is finished or ended: nobody needs them
  /// any more, and what is read of open jobs stays small. If it fails, `erase` does it.
  boost::asio::awaitable<void> delete_requests(JobKey key);
  /// Adds a mark to a job (finished, progress).
  boost::asio::awaitable<LogStatus> mark(std::string host, JobRecordKind kind, JobKey key,
                                         std::string value);
  /// Deletes all records of a job.
  boost::asio::awaitable<void> erase(std::string host, JobKey key);
  /// Counts the results that are kept. The budget outlives the store.
  void charge_to(MemoryBudget& budget);
  /// Forgets the results and the progress of jobs that are erased. Where memory is short, also the
  /// results of finished jobs: they are read again when somebody asks for them.
  void drop_erased_jobs();

  /// A text that no other call of any process gets, for keys.
  std::string unique_name();
  [[nodiscard]] const ListedResults& results_of(const JobKey& key);
  /// Returns how far an item came as far as it is known here, or null.
  [[nodiscard]] const ItemProgress* progress_of(const JobKey& key, std::uint32_t item);
  /// Calls `visit` for each job of the followed hosts whose jobs are read to their end.
  void for_each_job(const std::function<void(const JobKey&, const JobEntry&)>& visit) const;
  [[nodiscard]] const LogLimits& limits() const { return log_.limits(); }

 private:
  /// Reads of one job's results at this node.
  struct ResultReads {
    SharedRead refresh;
    NewestRead newest;
    ReadBounds bounds;  ///< Of the next read.
    SharedRead texts;
    ReadBounds text_bounds;
    /// Lowest position that is waited for and not being read.
    std::uint64_t first_needed_text = std::numeric_limits<std::uint64_t>::max();
  };
  /// One partition of a topic: the state folded from it, and what keeps that up to date.
  struct JobsPartition {
    std::unique_ptr<JobTable> table;
    std::shared_ptr<PartitionReplica> replica;
    bool followed = false;
    std::unique_ptr<Timer> idle_timer;  ///< Ends the rest of a node without jobs.
  };

  /// Whether a job fits the limit on the tokens that may wait on its route.
  [[nodiscard]] static bool fits_token_quota(const JobTable& table, const NewJob& job);
  /// Returns the partition of a host's jobs; starts to keep it if nothing did before.
  JobsPartition& partition_for_host(const std::string& host);
  /// Tells the listener of all open jobs of a partition that is read to its end.
  void notify_open_jobs(const JobsPartition& partition);
  void partition_loaded(const JobsPartition& loaded);
  /// Returns the job, whichever host it is of, or null.
  [[nodiscard]] const JobEntry* find_entry(const JobKey& key) const;
  boost::asio::awaitable<SubmitStatus> append_job(JobsPartition& partition, JobKey key, NewJob& job,
                                                  TimePoint deadline);
  /// Deletes what only a job that is run needs: its requests and its progress.
  boost::asio::awaitable<LogStatus> delete_run_data(JobKey key, JobSubmission submission,
                                                    TimePoint deadline);
  /// Deletes the requests of a try to submit a job that was not accepted. Nobody waits for it.
  boost::asio::awaitable<void> delete_refused_requests(JobKey key, JobSubmission submission);
  boost::asio::awaitable<SubmitStatus> append_submission(JobsPartition& partition, JobKey key,
                                                         NewJob& job, TimePoint deadline);
  /// How results behind those known are read.
  enum class ResultReadMode : std::uint8_t {
    kKey,     ///< Their listings alone.
    kOffset,  ///< With their texts, as far as the log has its history.
  };
  std::shared_ptr<ResultReads> result_reads_for(const JobKey& key);
  boost::asio::awaitable<LogStatus> refresh_results(JobKey key, TimePoint deadline,
                                                    ResultReadMode mode);
  boost::asio::awaitable<LogStatus> read_new_results(JobKey key, std::shared_ptr<ResultReads> reads,
                                                     ResultReadMode mode);
  /// Reads the results for a caller who asks from a position on that isn't listed here.
  boost::asio::awaitable<LogStatus> refresh_to_position(JobKey key, std::uint64_t position,
                                                        TimePoint deadline);
  /// Reads the texts that a page from a position on lacks, as far as they come in time.
  boost::asio::awaitable<void> load_texts(JobKey key, std::uint64_t position, TimePoint deadline);
  /// Reads some texts from the lowest position on that is waited for.
  boost::asio::awaitable<LogStatus> read_texts(JobKey key, std::shared_ptr<ResultReads> reads);
  /// Counts the results that are kept now.
  void update_result_memory();
  /// Drops the results of finished jobs that nobody reads just now, until there is room.
  void drop_finished_results();
  boost::asio::awaitable<void> sleep_for(Duration duration);
  boost::asio::awaitable<void> follow_partition(JobsPartition& partition);

  boost::asio::any_io_executor executor_;
  RecordLog& log_;
  std::string writer_name_;
  JobStoreTiming timing_;
  std::uint64_t next_unique_ = 0;
  JobDataLog data_;
  bool running_jobs_ = true;
  JobTable::Listener listener_;
  std::function<void()> loaded_listener_;
  std::map<std::uint32_t, JobsPartition> jobs_;
  /// Of the jobs that this node was asked for or runs.
  std::map<JobKey, ListedResults> results_;
  MemoryBudget* budget_ = nullptr;
  MemoryReservation result_memory_;
  std::map<JobKey, JobProgress> progress_;
  std::map<JobKey, std::shared_ptr<ResultReads>> result_reads_;
};

}  // namespace stoathold
