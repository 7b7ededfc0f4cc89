/// @file
/// A read of the log that callers who overlap share.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>

#include "store/record_log.h"

namespace stoathold {

/// Runs one read at a time. Whoever asks while one is under way shares the next with all who wait
/// then: it begins after they have asked, so that it holds whatever was durable by then. Without
/// it, as many reads of the same bytes would be on a narrow link as there are callers, and each be
/// late for the others. Used on one thread; outlives the calls in flight.
class SharedRead {
 public:
  using Read = std::function<boost::asio::awaitable<LogStatus>()>;

  /// Returns how a read that began after this call ended.
  /// @param read what to do if it is this caller's turn; the same for all callers.
  boost::asio::awaitable<LogStatus> run(Read read);

 private:
  std::optional<boost::asio::steady_timer> ended_one_;  ///< Never due; cancelled at each end.
  std::uint64_t begun_ = 0;
  std::uint64_t ended_ = 0;
  LogStatus last_ = LogStatus::kUnknown;
};

}  // namespace stoathold
