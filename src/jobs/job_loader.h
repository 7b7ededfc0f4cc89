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
  std::int64_t submitted_ms = 0;  ///< The oldest job is read first.
  std::function<bool()> wanted;   ///< Asked before and after each read; false: the job is left out.
  /// Called once the results and the progress are read.
  /// @return the items whose requests are to be read, ascending.
  std::function<std::vector<std::uint32_t>()> loaded;
  /// Called with each request that was read.
  std::function<void(std::uint32_t, ItemRequest)> request_read;
};

/// Queues jobs and reads their results, their progress and the requests of their open items, each
/// once: what came through is kept when a later read fails. Two reads at a time over all jobs of
/// the node: read all at once, they starve one another on a narrow link, are given up, and are sent
/// again. Used on one thread; outlives its reads.
class JobLoader {
 public:
  /// @param has_room asked before each read; false: enough requests wait for their turn.
  JobLoader(boost::asio::any_io_executor executor, JobStore& store, std::function<bool()> has_room);

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
    std::vector<std::uint32_t> items;  ///< Whose requests are still to be read.
    int failures = 0;                  ///< Since the last read that came through.
  };
  /// The order of the queue: jobs that could not be read go behind the others.
  struct Place {
    int failures = 0;
    std::int64_t submitted_ms = 0;

    auto operator<=>(const Place&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  void enqueue(JobRead read);
  boost::asio::awaitable<void> read_queue();
  boost::asio::awaitable<LogStatus> read_next(JobRead& read);
  boost::asio::awaitable<LogStatus> read_requests(JobRead& read);
  void log_retry(const JobRead& read, LogStatus status) const;
  [[nodiscard]] static ReadBounds bounds_of(const JobRead& read);
  [[nodiscard]] static std::string_view name_of(Step step);

  boost::asio::any_io_executor executor_;
  JobStore& store_;
  std::function<bool()> has_room_;
  std::multimap<Place, JobRead> waiting_;
  int readers_ = 0;
};

}  // namespace stoathold
