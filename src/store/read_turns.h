/// @file
/// How many large reads a node has under way.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <list>
#include <memory>
#include <utility>

#include "base/timer.h"

namespace stoathold {

/// Lets a few coroutines at a time go on, the others in the order in which they came. Large reads
/// that share a narrow link use up one another's time: a few at a time, they all come through. Used
/// on one thread; turns may be given back when it is gone, at the end of a process.
class ReadTurns {
 public:
  explicit ReadTurns(int most) : state_(std::make_shared<State>()) { state_->free = most; }

 private:
  struct State {
    int free = 0;
    std::list<std::shared_ptr<Timer>> waiting;  ///< Each is cancelled when its turn has come.
  };

 public:
  /// One turn; given back at its end.
  class Turn {
   public:
    explicit Turn(std::shared_ptr<State> state) : state_(std::move(state)) {}
    Turn(Turn&& other) noexcept = default;
    Turn(const Turn&) = delete;
    Turn& operator=(const Turn&) = delete;
    Turn& operator=(Turn&&) = delete;
    ~Turn();

   private:
    std::shared_ptr<State> state_;  ///< Null once it was moved from.
  };

  /// Waits for a turn.
  boost::asio::awaitable<Turn> take();

 private:
  std::shared_ptr<State> state_;
};

}  // namespace stoathold
