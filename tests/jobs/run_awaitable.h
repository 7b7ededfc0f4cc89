/// @file
/// Test helper that runs a coroutine to completion on an event loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

namespace stoathold {

/// Runs the loop until the coroutine completes, and returns its value. The loop may have been run
/// before.
template <typename Value>
Value run_awaitable(boost::asio::io_context& loop, boost::asio::awaitable<Value> task) {
  std::optional<Value> result;
  boost::asio::co_spawn(loop, std::move(task), [&](std::exception_ptr failure, Value value) {
    if (failure) std::rethrow_exception(failure);
    result = std::move(value);
  });
  loop.restart();
  while (!result && loop.run_one() > 0) {
  }
  return std::move(*result);
}

}  // namespace stoathold
