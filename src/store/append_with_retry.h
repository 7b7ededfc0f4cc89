/// @file
/// Appends to the log with retries.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <vector>

#include "store/backoff.h"
#include "store/record_log.h"

namespace stoathold {

/// Retries an append with backoff until the log acknowledges it as durable, rejects it permanently,
/// or the deadline would pass during the next wait. Records may be duplicated in the log if an
/// acknowledgement was lost. The log outlives the call.
boost::asio::awaitable<AppendResult> append_with_retry(boost::asio::any_io_executor executor,
                                                       RecordLog& log, PartitionName partition,
                                                       std::vector<KeyedRecord> records,
                                                       TimePoint deadline,
                                                       BackoffBounds backoff_bounds);

}  // namespace stoathold
