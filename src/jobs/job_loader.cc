#include "jobs/job_loader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/timer.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Jobs that are read at once: one read waits for the log while another is on the link.
constexpr int kMostReaders = 2;
/// How long one page of a job's records may take. The log answers up to 1 MB, a third more as text:
/// 0.4 s on 30 Mbit/s by itself, and as long again to decode with 0.12 of a core.
constexpr Duration kLoadPatience = std::chrono::seconds(4);

}  // namespace

JobLoader::JobLoader(asio::any_io_executor executor, JobStore& store)
    : executor_(std::move(executor)), store_(store) {}

void JobLoader::add(JobLoad load) {
  waiting_.push_back(std::move(load));
  if (readers_ >= kMostReaders) return;
  ++readers_;
  asio::co_spawn(executor_, read_queue(), asio::detached);
}

asio::awaitable<void> JobLoader::read_queue() {
  Backoff backoff;
  Timer timer(executor_);
  while (!waiting_.empty()) {
    JobLoad load = std::move(waiting_.front());
    waiting_.pop_front();
    if (!load.wanted()) continue;
    const bool done = co_await read(load.key);
    if (done) {
      backoff.reset();
      if (load.wanted()) load.loaded();
      continue;
    }
    waiting_.push_back(std::move(load));
    timer.expires_after(backoff.next());
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  --readers_;
}

asio::awaitable<bool> JobLoader::read(const JobKey& key) {
  const char* step = "results";
  LogStatus status = co_await store_.refresh_results(key, kLoadPatience);
  if (status == LogStatus::kOk) {
    step = "progress";
    status = co_await store_.refresh_progress(key, kLoadPatience);
  }
  if (status == LogStatus::kOk) co_return true;
  log_event(Event::kJobLoadRetried, {{"job", key},
                                     {"step", step},
                                     {"status", std::string(to_string(status))},
                                     {"waiting", std::to_string(waiting_.size())}});
  co_return false;
}

}  // namespace stoathold
