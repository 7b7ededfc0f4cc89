/// @file
/// A paged read of the newest records that resumes after a failed page.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "store/record_log.h"

namespace stoathold {

/// Reads the newest records of a key range. When a page fails, the pages before it are kept and the
/// next run resumes after them: if every failure restarted the read, a large partition might never
/// be read completely over a link on which pages fail occasionally. Used on one thread; runs may
/// overlap.
class ResumableNewestRead {
 public:
  /// Continues the read. With status `kOk` the result is complete: it holds all records below its
  /// `end`, which is the end that the first page reported, possibly several runs earlier.
  /// @param log outlives the call.
  /// @param range covers the same records on each run; its start may have advanced.
  /// @param page_timeout timeout of each page.
  boost::asio::awaitable<ReadResult> run(RecordReader& log, PartitionName partition, KeyRange range,
                                         Duration page_timeout);
  /// Returns whether pages of an earlier run are kept.
  [[nodiscard]] bool has_partial_result() const { return !pages_.resume_after.empty(); }

 private:
  ReadResult pages_;
};

}  // namespace stoathold
