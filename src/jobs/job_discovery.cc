#include "jobs/job_discovery.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/random.h"
#include "base/timer.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Mean interval between two reads of all nodes together, whose calls the store limits in total.
constexpr Duration kFleetReadInterval = std::chrono::milliseconds(10);
/// Maximum interval between two looks at what is due.
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
/// Intervals between reads of an empty partition. A node whose configuration is older than that of
/// the others learns of theirs within seconds, so that jobs are soon accepted only on hosts that
/// all follow.
constexpr Duration kInitialInterval = std::chrono::seconds(15);
constexpr Duration kMaxInterval = std::chrono::minutes(5);
/// Interval between reads of a partition with open jobs, which may be cancelled.
constexpr Duration kOpenJobsInterval = std::chrono::seconds(1);
/// The same without open jobs, whose records are still to be erased.
constexpr Duration kFinishedJobsInterval = std::chrono::seconds(10);

}  // namespace

JobDiscovery::JobDiscovery(asio::any_io_executor executor, JobStore& store, HeldShare held_share)
    : executor_(std::move(executor)), store_(store), held_share_(std::move(held_share)) {}

void JobDiscovery::reset() {
  const TimePoint now = monotonic_now();
  looks_.assign(store_.limits().partitions, {now, kInitialInterval});
  // Each node has an order of its own, so that nodes that start together rarely read the same
  // partition, which may be large, at the same time.
  for (Look& look : looks_) {
    look.due -= Duration(process_random().below(kInitialInterval.count()));
  }
}

Duration JobDiscovery::read_pause() const {
  const double nodes = 1 / std::max(held_share_(), 1.0 / store_.limits().group_slots);
  return std::chrono::duration_cast<Duration>(kFleetReadInterval * nodes);
}

std::optional<std::uint32_t> JobDiscovery::next_due() const {
  const TimePoint now = monotonic_now();
  std::optional<std::uint32_t> next;
  for (std::uint32_t partition = 0; partition < looks_.size(); ++partition) {
    if (looks_[partition].due > now || store_.is_followed(partition)) continue;
    if (!next || looks_[partition].due < looks_[*next].due) next = partition;
  }
  return next;
}

void JobDiscovery::schedule_next(std::uint32_t partition) {
  Look& look = looks_[partition];
  Duration wait = look.interval;
  switch (store_.jobs_in(partition)) {
    case JobsInPartition::kOpen:
      wait = kOpenJobsInterval;
      break;
    case JobsInPartition::kFinished:
      wait = kFinishedJobsInterval;
      break;
    case JobsInPartition::kNone:
      look.interval = std::min(look.interval * 2, kMaxInterval);
      break;
  }
  look.due = monotonic_now() + wait;
}

asio::awaitable<Duration> JobDiscovery::look() {
  const std::optional<std::uint32_t> partition = next_due();
  if (!partition) co_return kCheckInterval;
  const LogStatus status = co_await store_.read_unfollowed(*partition);
  if (status != LogStatus::kOk) {
    log_event(Event::kJobDiscoveryRetried, {{"partition", std::to_string(*partition)},
                                            {"status", std::string(to_string(status))}});
    // The other partitions that are due go first.
    looks_[*partition].due = monotonic_now();
    co_return std::max(read_pause(), failure_backoff_.next());
  }
  failure_backoff_.reset();
  schedule_next(*partition);
  co_return read_pause();
}

asio::awaitable<void> JobDiscovery::run(std::function<bool()> running) {
  Timer timer(executor_);
  while (running()) {
    Duration pause = kCheckInterval;
    const bool is_active = held_share_() > 0;
    const bool is_start = is_active && looks_.empty();
    if (!is_active) looks_.clear();
    if (is_start) {
      reset();
      // Nodes that start together begin at different times.
      pause = Duration(process_random().below(read_pause().count()));
    } else if (is_active) {
      pause = co_await look();
    }
    timer.expires_after(pause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace stoathold
