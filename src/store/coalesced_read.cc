#include "store/coalesced_read.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"

namespace stoathold {

namespace asio = boost::asio;

asio::awaitable<LogStatus> CoalescedRead::run(Read read, TimePoint deadline) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const std::uint64_t required = started_ + 1;
  while (finished_ < required) {
    if (started_ == finished_) start(executor, read);
    if (finished_ >= required) break;
    Timer timer(executor, Timer::time_point(deadline.time_since_epoch()));
    const auto waiter = waiters_.insert(waiters_.end(), &timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiters_.erase(waiter);
    if (finished_ < required && monotonic_now() >= deadline) co_return LogStatus::kUnknown;
  }
  co_return last_status_;
}

void CoalescedRead::start(const asio::any_io_executor& executor, Read read) {
  ++started_;
  asio::co_spawn(executor, perform(std::move(read)), asio::detached);
}

/// A read that throws must end too: the callers wait for it, and the next one starts after it.
asio::awaitable<void> CoalescedRead::perform(Read read) {
  LogStatus status = LogStatus::kUnknown;
  try {
    status = co_await read();
  } catch (const std::exception& failure) {
    log_event(Event::kReadThrew, {{"reason", failure.what()}});
  }
  last_status_ = status;
  ++finished_;
  for (Timer* timer : waiters_) timer->cancel();
}

}  // namespace stoathold
