#include "store/shared_read.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace stoathold {

namespace asio = boost::asio;

asio::awaitable<LogStatus> SharedRead::run(Read read) {
  if (!ended_one_) {
    ended_one_.emplace(co_await asio::this_coro::executor);
    ended_one_->expires_at(asio::steady_timer::time_point::max());
  }
  const std::uint64_t wanted = begun_ + 1;
  while (ended_ < wanted) {
    if (begun_ > ended_) {
      co_await ended_one_->async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    ++begun_;
    const LogStatus status = co_await read();
    last_ = status;
    ++ended_;
    ended_one_->cancel();
  }
  co_return last_;
}

}  // namespace stoathold
