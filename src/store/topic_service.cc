#include "store/topic_service.h"

#include <algorithm>
#include <utility>

#include "net/http_target.h"
#include "store/topic_page.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Upper bound of a page and of a wait, whatever is requested.
constexpr std::uint64_t kMaxPageBytes = 1024UL * 1024;
constexpr std::uint64_t kMaxWaitMs = 5000;
/// A reader that is behind the known end waits at least this long for the records, which this node
/// is about to read.
constexpr Duration kMinWaitBehindEnd = std::chrono::milliseconds(200);
/// Interval at which a waiting read looks at the state of this node's own reads.
constexpr Duration kHealthCheckInterval = std::chrono::milliseconds(250);
constexpr std::string_view kBinary = "application/octet-stream";

/// Returns where a reader continues that asked from `from` and gets `records`.
RecordOffset next_offset_for(const PartitionReplica& replica, const TopicCache& cache,
                             const std::vector<StoredRecord>& records, RecordOffset from) {
  const RecordOffset next = records.empty() ? from : records.back().offset + 1;
  return cache.has_records_from(next) ? next : std::max(next, replica.next_offset());
}

}  // namespace

void TopicService::add(std::shared_ptr<PartitionReplica> replica, TopicCache& cache) {
  const PartitionName name = replica->name();
  partitions_[name] = {std::move(replica), &cache};
}

bool TopicService::handles(std::string_view target) {
  return target.starts_with(kTopicPath);
}

asio::awaitable<void> TopicService::serve(HttpExchange& exchange) {
  const HttpTarget target = parse_target(exchange.target()).value_or(HttpTarget{});
  const PartitionName name{target.parameter("topic").value_or(""),
                           static_cast<std::uint32_t>(target.number("part", 0))};
  const auto found = partitions_.find(name);
  if (found == partitions_.end()) {
    co_await exchange.respond(404, kBinary, {});
    co_return;
  }
  const FollowedPartition partition = found->second;
  const RecordOffset from = target.number("from", 0);
  const std::uint64_t max_bytes =
      std::min(target.number("max_bytes", kMaxPageBytes), kMaxPageBytes);
  Duration wait = std::chrono::milliseconds(std::min(target.number("wait_ms", 0), kMaxWaitMs));
  if (from < partition.replica->health().end) wait = std::max(wait, kMinWaitBehindEnd);
  const TimePoint arrival = monotonic_now();
  const ReplicaHealth& health = partition.replica->health();
  TopicPage page;
  page.records = partition.cache->read(from, max_bytes);
  // A reader that is behind this node learns so at once, even if no record is left in between.
  while (page.records.empty() && partition.replica->next_offset() <= from &&
         health.last == LogStatus::kOk) {
    const Duration limit = health.loaded ? wait : std::max(wait, kMaxLoadWait);
    const Duration left = arrival + limit - monotonic_now();
    if (left <= Duration{0}) break;
    co_await partition.cache->wait_for_change(std::min(left, kHealthCheckInterval));
    page.records = partition.cache->read(from, max_bytes);
  }
  const bool is_reading = health.last == LogStatus::kOk || health.last == LogStatus::kNotDone;
  if (page.records.empty() && !health.loaded && is_reading) {
    co_await exchange.respond(kStatusLoading, kBinary, {});
    co_return;
  }
  if (health.last != LogStatus::kOk) {
    co_await exchange.respond(503, kBinary, {});
    co_return;
  }
  if (!partition.cache->covers(from)) {
    co_await exchange.respond(410, kBinary, {});
    co_return;
  }
  page.end = health.end;
  page.deletions_from = partition.cache->deletions_from();
  page.next = next_offset_for(*partition.replica, *partition.cache, page.records, from);
  page.confirmed_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(health.confirmed - arrival).count();
  std::string body = encode_page(page);
  co_await exchange.respond(200, kBinary, std::move(body));
}

}  // namespace stoathold
