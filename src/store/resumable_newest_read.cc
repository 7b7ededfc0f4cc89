#include "store/resumable_newest_read.h"

#include <algorithm>
#include <iterator>

namespace stoathold {

boost::asio::awaitable<ReadResult> ResumableNewestRead::run(RecordReader& log,
                                                            PartitionName partition, KeyRange range,
                                                            Duration page_timeout) {
  ReadResult result = pages_;
  range.after = std::max(range.after, result.resume_after);
  const bool first = result.resume_after.empty();
  ReadResult read = co_await log.read_newest(partition, range, page_timeout);
  result.status = read.status;
  if (first) result.end = read.end;
  std::move(read.records.begin(), read.records.end(), std::back_inserter(result.records));
  if (read.status == LogStatus::kOk) {
    result.resume_after.clear();
    pages_ = ReadResult();
    co_return result;
  }
  if (!read.resume_after.empty()) result.resume_after = std::move(read.resume_after);
  if (result.records.size() > pages_.records.size()) pages_ = std::move(result);
  ReadResult failed;
  failed.status = read.status;
  co_return failed;
}

}  // namespace stoathold
