/// @file
/// A read of the log that callers who overlap share.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <set>

#include "base/timer.h"
#include "store/record_log.h"

namespace stoathold {

/// Runs one read at a time. Whoever asks while one is under way shares the next with all who wait
/// then: it begins after they have asked, so that it holds whatever was durable by then. Without
/// it, as many reads of the same bytes would be on a narrow link as there are callers, and each be
/// late for the others. A read goes on when those who wait for it have given up, so that whoever
/// asks next finds what it brought. Used on one thread; outlives the calls in flight.
class SharedRead {
 public:
  using Read = std::function<boost::asio::awaitable<LogStatus>()>;

  /// Returns how a read that began after this call ended, or `kUnknown` if it takes longer.
  /// @param read what to do if a read is to begin; the same for all callers. It is kept until it
  ///        has ended, and has to keep this object.
  boost::asio::awaitable<LogStatus> run(Read read, TimePoint give_up);

 private:
  void begin(const boost::asio::any_io_executor& executor, Read read);
  boost::asio::awaitable<void> perform(Read read);

  std::set<Timer*> waiting_;  ///< Of the callers; cancelled when a read ends.
  std::uint64_t begun_ = 0;
  std::uint64_t ended_ = 0;
  LogStatus last_ = LogStatus::kUnknown;
};

}  // namespace stoathold
