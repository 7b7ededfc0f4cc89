/// @file
/// Limit on the number of concurrent large reads of a node.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <list>
#include <memory>
#include <utility>

#include "base/timer.h"

namespace stoathold {

/// FIFO semaphore for coroutines. Large reads that share a slow link make one another time out;
/// with only a few at a time, all of them complete. Used on one thread. Permits may be released
/// after the semaphore is destroyed, as happens at process exit.
class ReadTurns {
 public:
  /// @param max_concurrent number of permits.
  explicit ReadTurns(int max_concurrent) : state_(std::make_shared<State>()) {
    state_->available = max_concurrent;
  }

 private:
  struct State {
    int available = 0;
    std::list<std::shared_ptr<Timer>> waiters;  ///< Cancelled when it gets a permit.
  };

 public:
  /// Holds one permit and releases it on destruction.
  class Turn {
   public:
    explicit Turn(std::shared_ptr<State> state) : state_(std::move(state)) {}
    Turn(Turn&& other) noexcept = default;
    Turn(const Turn&) = delete;
    Turn& operator=(const Turn&) = delete;
    Turn& operator=(Turn&&) = delete;
    ~Turn();

   private:
    std::shared_ptr<State> state_;  ///< Null after a move.
  };

  /// Waits for a permit. Waiters are served in FIFO order.
  boost::asio::awaitable<Turn> take();

 private:
  std::shared_ptr<State> state_;
};

}  // namespace stoathold
