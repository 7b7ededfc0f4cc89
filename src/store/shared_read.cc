#include "store/shared_read.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace stoathold {

namespace asio = boost::asio;

asio::awaitable<LogStatus> SharedRead::run(Read read, TimePoint give_up) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const std::uint64_t wanted = begun_ + 1;
  while (ended_ < wanted) {
    if (begun_ == ended_) begin(executor, read);
    if (ended_ >= wanted) break;
    Timer timer(executor, Timer::time_point(give_up.time_since_epoch()));
    waiting_.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiting_.erase(&timer);
    if (ended_ < wanted && monotonic_now() >= give_up) co_return LogStatus::kUnknown;
  }
  co_return last_;
}

void SharedRead::begin(const asio::any_io_executor& executor, Read read) {
  ++begun_;
  asio::co_spawn(executor, perform(std::move(read)), asio::detached);
}

asio::awaitable<void> SharedRead::perform(Read read) {
  const LogStatus status = co_await read();
  last_ = status;
  ++ended_;
  for (Timer* timer : waiting_) timer->cancel();
}

}  // namespace stoathold
