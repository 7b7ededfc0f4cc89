#include "jobs/job_loader.h"

#include <algorithm>
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

/// Maximum concurrent reads: one waits for the log while another uses the link.
constexpr int kMaxConcurrentReaders = 2;
/// Delay in queue order per consecutive failed read: jobs submitted within this time after the
/// failing job are read before it.
constexpr std::int64_t kFailurePenaltyMs = 5000;

}  // namespace

JobLoader::JobLoader(asio::any_io_executor executor, JobStore& store,
                     CanReadRequests can_read_requests)
    : executor_(std::move(executor)),
      store_(store),
      can_read_requests_(std::move(can_read_requests)) {}

void JobLoader::add(JobLoad load) {
  JobRead read;
  read.load = std::move(load);
  enqueue(std::move(read));
  resume();
}

void JobLoader::enqueue(JobRead read) {
  const std::int64_t priority = read.load.submitted_ms + read.failures * kFailurePenaltyMs;
  queue_.emplace(priority, std::move(read));
}

void JobLoader::resume() {
  if (readers_ >= kMaxConcurrentReaders || next_readable() == queue_.end()) return;
  ++readers_;
  asio::co_spawn(executor_, read_queue(), asio::detached);
}

JobLoader::Queue::iterator JobLoader::next_readable() {
  return std::find_if(queue_.begin(), queue_.end(), [this](const auto& entry) {
    return entry.second.step != Step::kRequests || can_read_requests_(entry.second.load.key);
  });
}

asio::awaitable<void> JobLoader::read_queue() {
  Backoff backoff;
  Timer timer(executor_);
  for (auto next = next_readable(); next != queue_.end(); next = next_readable()) {
    JobRead read = std::move(next->second);
    queue_.erase(next);
    if (!read.load.still_needed()) continue;
    const LogStatus status = co_await read_next(read);
    if (!read.load.still_needed()) continue;
    const bool done = read.step == Step::kRequests && read.unread_items.empty();
    if (status == LogStatus::kOk) {
      backoff.reset();
      read.failures = 0;
      if (!done) enqueue(std::move(read));
      continue;
    }
    log_retry(read, status);
    ++read.failures;
    read.bounds.decrease();
    enqueue(std::move(read));
    timer.expires_after(backoff.next());
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  --readers_;
}

asio::awaitable<LogStatus> JobLoader::read_next(JobRead& read) {
  LogStatus status = LogStatus::kUnknown;
  switch (read.step) {
    case Step::kResults:
      status = co_await store_.refresh_results(read.load.key);
      if (status == LogStatus::kOk) read.step = Step::kProgress;
      break;
    case Step::kProgress:
      status = co_await store_.refresh_progress(read.load.key, read.bounds);
      if (status != LogStatus::kOk || !read.load.still_needed()) break;
      read.unread_items = read.load.on_loaded();
      read.step = Step::kRequests;
      break;
    case Step::kRequests:
      status = co_await read_requests(read);
      break;
  }
  co_return status;
}

asio::awaitable<LogStatus> JobLoader::read_requests(JobRead& read) {
  std::vector<std::uint32_t> wanted = read.unread_items;
  wanted.resize(std::min(wanted.size(), kMaxRequestsPerRead));
  RequestsRead found = co_await store_.read_requests(read.load.key, std::move(wanted), read.bounds);
  if (found.status != LogStatus::kOk || !read.load.still_needed()) co_return found.status;
  for (const std::uint32_t item : found.missing) {
    std::erase(read.unread_items, item);
    if (read.load.on_request_missing(item)) read.missing.push_back(item);
  }
  std::erase_if(read.unread_items, [&](std::uint32_t item) { return found.found.contains(item); });
  for (auto& [item, request] : found.found) read.load.on_request(item, std::move(request));
  if (!read.unread_items.empty() || read.missing.empty()) co_return LogStatus::kOk;
  // The log accepted these requests, so they are read again, after the other jobs.
  read.unread_items = std::exchange(read.missing, {});
  co_return LogStatus::kUnknown;
}

std::string_view JobLoader::step_name(Step step) {
  switch (step) {
    case Step::kResults:
      return "results";
    case Step::kProgress:
      return "progress";
    case Step::kRequests:
      break;
  }
  return "requests";
}

void JobLoader::log_retry(const JobRead& read, LogStatus status) const {
  log_event(Event::kJobLoadRetried, {{"job", read.load.key},
                                     {"step", std::string(step_name(read.step))},
                                     {"status", std::string(to_string(status))},
                                     {"items", std::to_string(read.unread_items.size())},
                                     {"failures", std::to_string(read.failures)},
                                     {"waiting", std::to_string(queue_.size())}});
}

}  // namespace stoathold
