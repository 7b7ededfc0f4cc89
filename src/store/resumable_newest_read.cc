#include "store/resumable_newest_read.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "base/event_log.h"

namespace stoathold {
namespace {

/// Most bytes of pages that are kept after a failure. A larger read starts from the beginning.
constexpr std::uint64_t kMaxKeptBytes = 32ULL * 1024 * 1024;

std::uint64_t bytes_of(const std::vector<StoredRecord>& records) {
  std::uint64_t bytes = 0;
  for (const auto& record : records) bytes += record.key.size() + record.value.size();
  return bytes;
}

}  // namespace

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
  const std::uint64_t bytes = bytes_of(result.records);
  if (bytes > kMaxKeptBytes) {
    log_event(Event::kStoreReplyRefused,
              {{"call", "newest"}, {"topic", partition.topic}, {"bytes", std::to_string(bytes)}});
    pages_ = ReadResult();
  } else if (result.records.size() > pages_.records.size()) {
    pages_ = std::move(result);
  }
  ReadResult failed;
  failed.status = read.status;
  co_return failed;
}

}  // namespace stoathold
