/// @file
/// Appending to the log again and again until it is done.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <vector>

#include "store/backoff.h"
#include "store/record_log.h"

namespace stoathold {

/// Appends records until the log has answered that they are durable, or refuses them for good, or
/// the time is up. Records whose answer was lost may stand in the log more than once.
boost::asio::awaitable<AppendResult> append_until(boost::asio::any_io_executor executor,
                                                  RecordLog& log, PartitionName partition,
                                                  std::vector<KeyedRecord> records,
                                                  TimePoint deadline, BackoffBounds retries);

}  // namespace stoathold
