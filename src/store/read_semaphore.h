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
class ReadSemaphore {
 public:
  /// @param max_concurrent number of permits.
  explicit ReadSemaphore(int max_concurrent) : state_(std::make_shared<State>()) {
    state_->available = max_concurrent;
  }

 private:
  struct State {
    int available = 0;
    std::list<std::shared_ptr<Timer>> waiters;  ///< Cancelled when it gets a permit.
  };

 public:
  /// Holds one permit and releases it on destruction.
  class Permit {
   public:
    explicit Permit(std::shared_ptr<State> state) : state_(std::move(state)) {}
    Permit(Permit&& other) noexcept = default;
    Permit(const Permit&) = delete;
    Permit& operator=(const Permit&) = delete;
    Permit& operator=(Permit&&) = delete;
    ~Permit();

   private:
    std::shared_ptr<State> state_;  ///< Null after a move.
  };

  /// Waits for a permit. Waiters are served in FIFO order.
  boost::asio::awaitable<Permit> acquire();

 private:
  std::shared_ptr<State> state_;
};

}  // namespace stoathold
