/// @file
/// A value that one coroutine waits for and another thread provides once.
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

/// Carries one value to a coroutine on `executor` (a strand). Shared by both sides.
template <typename Value>
class OneShot : public std::enable_shared_from_this<OneShot<Value>> {
 public:
  explicit OneShot(const boost::asio::any_io_executor& executor)
      : timer_(executor, Timer::time_point::max()) {}

  /// Provides the value; later calls are ignored. Any thread.
  void set(Value value) {
    auto self = this->shared_from_this();
    boost::asio::post(timer_.get_executor(), [self, value = std::move(value)]() mutable {
      if (self->value_) return;
      self->value_ = std::move(value);
      self->timer_.cancel();
    });
  }

  /// Waits for the value; on the executor only.
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

/// Brings answers and their waiters together, whichever comes first. Not thread safe.
template <typename Value>
class WaiterTable {
 public:
  using Waiter = std::shared_ptr<OneShot<Value>>;

  /// Registers a waiter for a call; an answer that came before is given to it at once.
  void add(std::uint64_t call, Waiter waiter) {
    if (auto early = early_.extract(call); !early.empty()) {
      waiter->set(std::move(early.mapped()));
      return;
    }
    waiters_[call] = std::move(waiter);
  }

  /// Gives an answer to its waiter, or keeps it until the waiter is registered.
  void answer(std::uint64_t call, Value value) {
    auto waiter = waiters_.extract(call);
    if (waiter.empty()) {
      early_[call] = std::move(value);
    } else {
      waiter.mapped()->set(std::move(value));
    }
  }

  [[nodiscard]] std::size_t size() const { return waiters_.size(); }

 private:
  std::unordered_map<std::uint64_t, Waiter> waiters_;
  std::unordered_map<std::uint64_t, Value> early_;
};

}  // namespace stoathold
