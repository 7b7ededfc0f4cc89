/// @file
/// Reads what the log holds of the jobs that a node takes up, a little at a time.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "jobs/job_store.h"

namespace stoathold {

/// A job to read.
struct JobLoad {
  JobKey key;
  std::int64_t submitted_ms = 0;  ///< Since the epoch; the oldest job is read first.
  std::function<bool()>
      still_needed;  ///< Asked before and after each read; false: the job is left out.
  /// Called once the results and the progress are read.
  /// @return the items whose requests are to be read, ascending.
  std::function<std::vector<std::uint32_t>()> on_loaded;
  /// Called with each request that was read.
  std::function<void(std::uint32_t, ItemRequest)> on_request;
  /// Called with each item whose request is not where the log should hold it; it is read again.
  std::function<void(std::uint32_t)> on_request_missing;
};

/// Queues jobs and reads their results, their progress and the requests of their open items, each
/// once: what came through is kept when a later read fails. Two reads at a time over all jobs of
/// the node: read all at once, they starve one another on a narrow link, are given up, and are sent
/// again. Used on one thread; outlives its reads.
class JobLoader {
 public:
  /// Returns whether more requests of a job may be read; false: enough of them are held here.
  using CanReadRequests = std::function<bool(const JobKey&)>;
  /// Most requests that one read brings: what is held here goes over its bounds by no more.
  static constexpr std::size_t kMaxRequestsPerRead = 32;

  /// @param has_room asked before requests are read.
  JobLoader(boost::asio::any_io_executor executor, JobStore& store,
            CanReadRequests can_read_requests);

  void add(JobLoad load);
  /// To be called when there may be room again.
  void resume();

 private:
  /// The next thing to read of a job.
  enum class Step : std::uint8_t { kResults, kProgress, kRequests };
  /// A job that is being read.
  struct JobRead {
    JobLoad load;
    Step step = Step::kResults;
    std::vector<std::uint32_t> unread_items;  ///< Whose requests are still to be read.
    std::vector<std::uint32_t> missing;  ///< Whose requests were not found; read again at the end.
    int failures = 0;                    ///< Since the last read that came through.
    ReadBounds bounds;                   ///< Of the next read of progress or requests.
  };
  /// By the time of the submission, put off by each failed read: a job that cannot be read lets
  /// others go first, and is not passed by new ones for ever.
  using Queue = std::multimap<std::int64_t, JobRead>;

  void enqueue(JobRead read);
  /// The first job of which something may be read now; the end if there is none.
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
