/// @file
/// Reads what the log holds of the jobs that a node takes up, a few jobs at a time.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>

#include "jobs/job_store.h"

namespace stoathold {

/// A job to read.
struct JobLoad {
  JobKey key;
  std::function<bool()> wanted;  ///< Asked before each try; false: the job is left out.
  std::function<void()> loaded;  ///< Called once the results and the progress are read.
};

/// Queues jobs and reads them in turn; one that cannot be read goes to the end of the queue. Read
/// all at once, the jobs of a small machine keep one another from coming through. Used on one
/// thread; outlives its reads.
class JobLoader {
 public:
  JobLoader(boost::asio::any_io_executor executor, JobStore& store);

  void add(JobLoad load);

 private:
  boost::asio::awaitable<void> read_queue();
  boost::asio::awaitable<bool> read(const JobKey& key);

  boost::asio::any_io_executor executor_;
  JobStore& store_;
  std::deque<JobLoad> waiting_;
  int readers_ = 0;
};

}  // namespace stoathold
