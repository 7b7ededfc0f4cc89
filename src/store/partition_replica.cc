#include "store/partition_replica.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/timer.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Maximum page timeout of a replica of scope `kNewest`. On a connection that no longer responds,
/// the whole timeout passes before the read is retried.
constexpr Duration kMaxNewestPageTimeout = std::chrono::seconds(2);

}  // namespace

PartitionReplica::PartitionReplica(RecordReader& log, PartitionName partition, RecordSink& sink,
                                   ReplicaScope scope)
    : log_(log),
      follow_reader_(&log),
      partition_(std::move(partition)),
      sink_(sink),
      scope_(scope),
      skip_to_newest_(scope == ReplicaScope::kNewest) {}

void PartitionReplica::apply_new(const std::vector<StoredRecord>& records) {
  for (const auto& record : records) {
    if (record.offset < next_offset_) continue;
    next_offset_ = record.offset + 1;
    sink_.apply(record);
  }
}

void PartitionReplica::apply_appended(RecordOffset offset,
                                      const std::vector<KeyedRecord>& records) {
  if (offset != next_offset_) return;
  std::vector<StoredRecord> stored;
  for (const auto& record : records) stored.push_back({offset++, record.key, record.value});
  apply_new(stored);
}

void PartitionReplica::adapt_read_limits(const ReadResult& result, Duration duration) {
  if (result.status == LogStatus::kUnknown) read_limits_.decrease();
  if (result.status != LogStatus::kOk) return;
  const bool complete = result.records.empty() || result.records.back().offset + 1 >= result.end;
  if (complete) {
    read_limits_.increase();
    return;
  }
  std::uint64_t bytes = 0;
  for (const auto& record : result.records) bytes += record.key.size() + record.value.size();
  read_limits_.on_partial_read(bytes, duration);
}

asio::awaitable<LogStatus> PartitionReplica::load_newest(RecordReader& log) {
  const KeyRange all_keys;
  const Duration page_timeout = scope_ == ReplicaScope::kNewest
                                    ? std::min(read_limits_.page_timeout, kMaxNewestPageTimeout)
                                    : read_limits_.page_timeout;
  ReadResult result = co_await newest_.run(log, partition_, all_keys, page_timeout);
  if (result.status == LogStatus::kUnknown) read_limits_.decrease();
  if (result.status != LogStatus::kOk) co_return result.status;
  read_limits_.increase();
  health_.end = std::max(health_.end, result.end);
  if (result.end < next_offset_) co_return LogStatus::kOk;
  std::erase_if(result.records,
                [&](const StoredRecord& record) { return record.offset >= result.end; });
  std::sort(result.records.begin(), result.records.end(),
            [](const StoredRecord& left, const StoredRecord& right) {
              return left.offset < right.offset;
            });
  log_event(Event::kReplicaReset, {{"topic", partition_.topic},
                                   {"partition", std::to_string(partition_.partition)},
                                   {"records", std::to_string(result.records.size())},
                                   {"from", std::to_string(next_offset_)},
                                   {"end", std::to_string(result.end)}});
  sink_.reset(result.records, result.end);
  next_offset_ = result.end;
  co_return LogStatus::kOk;
}

asio::awaitable<LogStatus> PartitionReplica::read_next(RecordReader& log, Duration wait,
                                                       bool& at_end, TimePoint& confirmed) {
  const TimePoint sent = monotonic_now();
  const RecordOffset from = next_offset_;
  const ReadResult result = co_await log.read(partition_, from, read_limits_.bytes, wait);
  adapt_read_limits(result, monotonic_now() - sent);
  if (result.status != LogStatus::kOk) co_return result.status;
  health_.end = std::max(health_.end, result.end);
  if (result.deletions_from > from) sink_.on_deletions_skipped(result.deletions_from);
  apply_new(result.records);
  next_offset_ = std::max(next_offset_, result.next.value_or(next_offset_));
  at_end = next_offset_ >= result.end;
  confirmed = result.confirmed.value_or(sent);
  skip_to_newest_ = scope_ == ReplicaScope::kNewest && !at_end;
  co_return LogStatus::kOk;
}

asio::awaitable<LogStatus> PartitionReplica::read_once(RecordReader& log, Duration wait,
                                                       bool& at_end) {
  const auto self = shared_from_this();
  const TimePoint sent = monotonic_now();
  TimePoint confirmed = sent;
  at_end = false;
  LogStatus status = LogStatus::kTruncated;
  if (!skip_to_newest_) status = co_await read_next(log, wait, at_end, confirmed);
  if (status == LogStatus::kTruncated) {
    status = co_await load_newest(log);
    if (status == LogStatus::kOk) skip_to_newest_ = false;
  }
  health_.last = status;
  if (status == LogStatus::kOk) {
    health_.last_success = std::max(health_.last_success, sent);
    if (at_end) health_.confirmed = std::max(health_.confirmed, confirmed);
    const bool was_loaded = std::exchange(health_.loaded, health_.loaded || at_end);
    if (at_end) sink_.on_caught_up();
    if (health_.loaded && !was_loaded && loaded_listener_) loaded_listener_();
  }
  co_return status;
}

asio::awaitable<LogStatus> PartitionReplica::catch_up() {
  const CoalescedRead::Read read = [self = shared_from_this()] { return self->read_to_end(); };
  co_return co_await catch_up_read_.run(read, TimePoint::max());
}

asio::awaitable<LogStatus> PartitionReplica::read_to_end() {
  bool at_end = false;
  while (!at_end) {
    const LogStatus status = co_await read_once(log_, Duration{0}, at_end);
    if (status != LogStatus::kOk) co_return status;
  }
  co_return LogStatus::kOk;
}

asio::awaitable<LogStatus> PartitionReplica::wait_for_records(Duration wait) {
  bool at_end = false;
  co_return co_await read_once(log_, wait, at_end);
}

asio::awaitable<void> PartitionReplica::follow(std::function<bool()> running, Duration read_pause,
                                               Duration wait) {
  const auto self = shared_from_this();
  Timer timer(co_await asio::this_coro::executor);
  Backoff backoff;
  while (running()) {
    // After a failure the next read does not long-poll, so that recovery is detected at once.
    const bool steady = health_.loaded && health_.last == LogStatus::kOk;
    const Duration read_wait = steady ? wait : Duration{0};
    bool at_end = false;
    const RecordOffset before = next_offset_;
    const TimePoint sent = monotonic_now();
    const LogStatus status = co_await read_once(*follow_reader_, read_wait, at_end);
    if (status == LogStatus::kOk) {
      backoff.reset();
      const bool pause = at_end && next_offset_ > before && read_pause.count() > 0;
      if (!pause) continue;
    }
    const Duration duration = monotonic_now() - sent;
    timer.expires_after(status == LogStatus::kOk ? read_pause
                                                 : backoff.next_after_attempt(duration));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace stoathold
