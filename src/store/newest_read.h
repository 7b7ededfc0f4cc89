/// @file
/// A read of many newest records that keeps the pages which came through.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "store/record_log.h"

namespace stoathold {

/// Reads the newest records of a range. When a page fails, those before it are kept, and the next
/// run goes on behind them: to read them all again would keep a large partition from ever being
/// read whole where each page fails now and then. Used on one thread; runs may overlap.
class NewestRead {
 public:
  /// Reads on. The result is whole once its status is `kOk`: it then holds all records below its
  /// `end`, which is that of the first page, read maybe some runs ago.
  /// @param log outlives the call.
  /// @param range of the same records each time; it may have become shorter at its front.
  boost::asio::awaitable<ReadResult> run(RecordLog& log, PartitionName partition, KeyRange range,
                                         Duration patience);
  /// Whether pages of an earlier run are kept.
  [[nodiscard]] bool begun() const { return !pages_.resume_after.empty(); }

 private:
  ReadResult pages_;
};

}  // namespace stoathold
