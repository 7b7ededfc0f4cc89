/// @file
/// Coalescing of concurrent reads of the log.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <list>

#include "base/timer.h"
#include "store/record_log.h"

namespace stoathold {

/// Runs at most one read at a time. Callers that arrive during a read share the next one, which
/// starts after all of them have called and therefore returns everything that was durable by then.
/// Without coalescing, every caller would transfer the same bytes over a slow link, and the reads
/// would delay one another. A read continues after its callers have timed out, so that later
/// callers benefit from its result. Used on one thread; outlives the calls in flight.
class CoalescedRead {
 public:
  using Read = std::function<boost::asio::awaitable<LogStatus>()>;

  /// Returns the status of a read that started after this call, or `kUnknown` if the deadline
  /// passes first.
  /// @param read performs the read; equivalent for all callers. It is kept until the read has ended
  ///        and must keep this object alive.
  boost::asio::awaitable<LogStatus> run(Read read, TimePoint deadline);

 private:
  void start(const boost::asio::any_io_executor& executor, Read read);
  boost::asio::awaitable<void> perform(Read read);

  /// Timers of waiting callers in the order of their calls; cancelled when a read ends.
  std::list<Timer*> waiters_;
  std::uint64_t started_ = 0;
  std::uint64_t finished_ = 0;
  LogStatus last_status_ = LogStatus::kUnknown;
};

}  // namespace stoathold
