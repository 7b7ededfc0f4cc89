/// @file
/// Loads the log records of the jobs that a node starts, with few concurrent reads.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "jobs/job_store.h"

namespace stoathold {

/// A job to load, with the callbacks for its data.
struct JobLoad {
  JobKey key;
  std::int64_t submitted_ms = 0;       ///< Since the epoch; the oldest job is read first.
  std::function<bool()> still_needed;  ///< Called around each read; false: drop the job.
  /// Called once the results and the progress have been read.
  /// @return the items whose requests are to be read, ascending.
  std::function<std::vector<std::uint32_t>()> on_loaded;
  /// Called with each item and its request.
  std::function<void(std::uint32_t, ItemRequest)> on_request;
  /// Called with each item whose request was not found in the log.
  /// @return whether to read the request again later.
  std::function<bool(std::uint32_t)> on_request_missing;
};

/// Queues jobs and reads their results, their progress and the requests of their open items. Data
/// that was read is kept when a later read fails, and is not read again. At most two reads are in
/// flight over all jobs of the node: on a narrow link more concurrent reads starve each other, time
/// out and are sent again. Not thread-safe; must outlive its reads.
class JobLoader {
 public:
  /// Returns whether more requests of a job may be read, or false if the node holds enough of them.
  using CanReadRequests = std::function<bool(const JobKey&)>;
  /// Maximum number of requests per read, by which the requests held may exceed their limits.
  static constexpr std::size_t kMaxRequestsPerRead = 32;

  /// @param can_read_requests called before requests of a job are read.
  JobLoader(boost::asio::any_io_executor executor, JobStore& store,
            CanReadRequests can_read_requests);

  void add(JobLoad load);
  /// Resumes reading; to be called when `can_read_requests` may allow more reads.
  void resume();

 private:
  /// The data of a job to be read next.
  enum class Step : std::uint8_t { kResults, kProgress, kRequests };
  /// A queued job and the state of its reads.
  struct JobRead {
    JobLoad load;
    Step step = Step::kResults;
    std::vector<std::uint32_t> unread_items;  ///< Items whose requests are still to be read.
    std::vector<std::uint32_t> missing;  ///< Items whose requests were not found; retried last.
    int failures = 0;                    ///< Consecutive failed reads.
    AdaptiveReadLimits bounds;           ///< Bounds of the next read of progress or requests.
  };
  /// Ordered by submission time plus a penalty for each failed read: a job that cannot be read lets
  /// others go first, but is not overtaken by new jobs indefinitely.
  using Queue = std::multimap<std::int64_t, JobRead>;

  void enqueue(JobRead read);
  /// Returns the first job with data that may be read now, or the end of the queue.
  Queue::iterator next_readable();
  boost::asio::awaitable<void> read_queue();
  boost::asio::awaitable<LogStatus> read_next(JobRead& read);
  boost::asio::awaitable<LogStatus> read_requests(JobRead& read);
  void log_retry(const JobRead& read, LogStatus status) const;
  [[nodiscard]] static std::string_view step_name(Step step);

  boost::asio::any_io_executor executor_;
  JobStore& store_;
  CanReadRequests can_read_requests_;
  Queue queue_;
  int readers_ = 0;
};

}  // namespace stoathold
