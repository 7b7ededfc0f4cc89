/// @file
/// One-shot channels: a value that is set once, on any thread, and awaited by one coroutine.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/timer.h"

namespace stoathold {

/// One-shot channel to a coroutine that runs on `executor` (a strand). The producer and the
/// consumer share it through a `shared_ptr`.
template <typename Value>
class OneShot : public std::enable_shared_from_this<OneShot<Value>> {
 public:
  explicit OneShot(const boost::asio::any_io_executor& executor)
      : timer_(executor, Timer::time_point::max()) {}

  /// Sets the value; later calls are ignored. May be called on any thread.
  void set(Value value) {
    auto self = this->shared_from_this();
    boost::asio::post(timer_.get_executor(), [self, value = std::move(value)]() mutable {
      if (self->value_) return;
      self->value_ = std::move(value);
      self->timer_.cancel();
    });
  }

  /// Waits for the value. Must be awaited on the executor, and only once.
  boost::asio::awaitable<Value> wait() {
    while (!value_) {
      co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return std::move(*value_);
  }

 private:
  Timer timer_;
  std::optional<Value> value_;
};

/// Matches results with the coroutines that wait for them, in either order of arrival. Not thread
/// safe.
template <typename Value>
class WaiterTable {
 public:
  using Waiter = std::shared_ptr<OneShot<Value>>;

  /// Registers the waiter of a call; a result that arrived earlier is delivered at once.
  void add(std::uint64_t call, Waiter waiter) {
    if (auto unclaimed = unclaimed_.extract(call); !unclaimed.empty()) {
      waiter->set(std::move(unclaimed.mapped()));
      return;
    }
    waiters_[call] = std::move(waiter);
  }

  /// Delivers the result of a call, or stores it until the waiter is registered.
  void answer(std::uint64_t call, Value value) {
    auto waiter = waiters_.extract(call);
    if (waiter.empty()) {
      unclaimed_[call] = std::move(value);
    } else {
      waiter.mapped()->set(std::move(value));
    }
  }

  [[nodiscard]] std::size_t size() const { return waiters_.size(); }

 private:
  std::unordered_map<std::uint64_t, Waiter> waiters_;
  std::unordered_map<std::uint64_t, Value> unclaimed_;
};

}  // namespace stoathold
