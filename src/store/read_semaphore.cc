#include "store/read_semaphore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace stoathold {

namespace asio = boost::asio;

asio::awaitable<ReadSemaphore::Permit> ReadSemaphore::acquire() {
  const std::shared_ptr<State> state = state_;
  if (state->available > 0) {
    --state->available;
    co_return Permit(state);
  }
  const auto timer =
      std::make_shared<Timer>(co_await asio::this_coro::executor, Timer::time_point::max());
  state->waiters.push_back(timer);
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  co_return Permit(state);
}

ReadSemaphore::Permit::~Permit() {
  if (!state_) return;
  if (state_->waiters.empty()) {
    ++state_->available;
    return;
  }
  const std::shared_ptr<Timer> next = state_->waiters.front();
  state_->waiters.pop_front();
  next->cancel();
}

}  // namespace stoathold
