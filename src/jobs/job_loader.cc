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

/// Reads under way at once: one waits for the log while another is on the link.
constexpr int kMostReaders = 2;
/// A read that failed is given twice the time and asks for half as much, up to these bounds: 1 MB
/// takes 0.4 s on 30 Mbit/s by itself, and as long again to decode with 0.12 of a core; and an item
/// has 15 kB.
constexpr Duration kLongestPatience = std::chrono::seconds(4);
constexpr std::uint64_t kFewestBytes = 64UL * 1024;

}  // namespace

JobLoader::JobLoader(asio::any_io_executor executor, JobStore& store,
                     std::function<bool()> has_room)
    : executor_(std::move(executor)), store_(store), has_room_(std::move(has_room)) {}

void JobLoader::add(JobLoad load) {
  JobRead read;
  read.load = std::move(load);
  enqueue(std::move(read));
  resume();
}

void JobLoader::enqueue(JobRead read) {
  const Place place{read.failures, read.load.submitted_ms};
  waiting_.emplace(place, std::move(read));
}

void JobLoader::resume() {
  if (waiting_.empty() || readers_ >= kMostReaders || !has_room_()) return;
  ++readers_;
  asio::co_spawn(executor_, read_queue(), asio::detached);
}

asio::awaitable<void> JobLoader::read_queue() {
  Backoff backoff;
  Timer timer(executor_);
  while (!waiting_.empty() && has_room_()) {
    JobRead read = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    if (!read.load.wanted()) continue;
    const LogStatus status = co_await read_next(read);
    if (!read.load.wanted()) continue;
    const bool done = read.step == Step::kRequests && read.items.empty();
    if (status == LogStatus::kOk) {
      backoff.reset();
      read.failures = 0;
      if (!done) enqueue(std::move(read));
      continue;
    }
    log_retry(read, status);
    ++read.failures;
    enqueue(std::move(read));
    timer.expires_after(backoff.next());
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  --readers_;
}

asio::awaitable<LogStatus> JobLoader::read_next(JobRead& read) {
  const ReadBounds bounds = bounds_of(read);
  LogStatus status = LogStatus::kUnknown;
  switch (read.step) {
    case Step::kResults:
      status = co_await store_.refresh_results(read.load.key, bounds);
      if (status == LogStatus::kOk) read.step = Step::kProgress;
      break;
    case Step::kProgress:
      status = co_await store_.refresh_progress(read.load.key, bounds);
      if (status != LogStatus::kOk || !read.load.wanted()) break;
      read.items = read.load.loaded();
      read.step = Step::kRequests;
      break;
    case Step::kRequests:
      status = co_await read_requests(read);
      break;
  }
  co_return status;
}

asio::awaitable<LogStatus> JobLoader::read_requests(JobRead& read) {
  const ReadBounds bounds = bounds_of(read);
  RequestsRead found = co_await store_.read_requests(read.load.key, read.items, bounds);
  if (found.status != LogStatus::kOk || !read.load.wanted()) co_return found.status;
  std::erase_if(read.items, [&](std::uint32_t item) { return found.found.contains(item); });
  for (auto& [item, request] : found.found) read.load.request_read(item, std::move(request));
  for (const std::uint32_t item : found.absent) {
    log_event(Event::kItemUnreadable, {{"job", read.load.key}, {"item", std::to_string(item)}});
  }
  // The log has accepted these; it is asked again, behind the other jobs.
  co_return found.absent.empty() ? LogStatus::kOk : LogStatus::kUnknown;
}

ReadBounds JobLoader::bounds_of(const JobRead& read) {
  ReadBounds bounds;
  for (int i = 0; i < read.failures; ++i) {
    bounds.patience = std::min(bounds.patience * 2, kLongestPatience);
    bounds.bytes = std::max(bounds.bytes / 2, kFewestBytes);
  }
  return bounds;
}

std::string_view JobLoader::name_of(Step step) {
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
                                     {"step", std::string(name_of(read.step))},
                                     {"status", std::string(to_string(status))},
                                     {"items", std::to_string(read.items.size())},
                                     {"failures", std::to_string(read.failures)},
                                     {"waiting", std::to_string(waiting_.size())}});
}

}  // namespace stoathold
