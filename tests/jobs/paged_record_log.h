/// @file
/// A record log for tests that returns pages like the metadata store, and counts them.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "base/timer.h"
#include "emulator/log_model.h"
#include "jobs/job_records.h"
#include "store/record_log.h"

namespace stoathold {

/// Limits of the metadata store, with its number of slots.
inline LogLimits store_limits() {
  LogLimits limits;
  limits.record_bytes = 256UL * 1024;
  limits.call_bytes = 2UL * 1024 * 1024;
  limits.partitions = 8;
  limits.group_slots = 128;
  limits.job_topics = 24;  // As the platform spreads jobs over 8 partitions of each topic.
  return limits;
}

/// Number and size of the reads of some topics.
struct ReadCount {
  std::size_t calls = 0;    ///< Number of reads; each page of newest records counts.
  std::uint64_t bytes = 0;  ///< Bytes of keys and values, requested or not.
};

/// One node's connection to a shared log; the node holds all slots of its group.
///
/// A page of newest records contains whatever keys follow, up to 500 records or 1 MB: records after
/// the requested range are transferred too and dropped by the reader. Calls fail only if a test
/// requests it.
class PagedRecordLog final : public RecordLog {
 public:
  PagedRecordLog(std::shared_ptr<emulator::LogModel> model, boost::asio::any_io_executor executor)
      : model_(std::move(model)), limits_(store_limits()), gate_(std::move(executor)) {
    close_gate();
  }

  /// Makes reads of topics with this prefix wait until `release` is called.
  void hold_reads(std::string topic_prefix) { held_read_prefix_ = std::move(topic_prefix); }
  /// Releases the calls that wait now; later calls wait again.
  void release() {
    gate_.cancel();
    close_gate();
  }
  /// Makes appends to topics with this prefix wait likewise; `max_held` includes them.
  void hold_appends(std::string topic_prefix) { held_append_prefix_ = std::move(topic_prefix); }
  /// Returns the highest number of calls that waited at the same time.
  [[nodiscard]] int max_held() const { return max_held_; }
  /// Makes reads by offset that request more bytes than this time out, except on the jobs topic.
  void set_max_answered_read_bytes(std::uint64_t bytes) { max_answered_read_bytes_ = bytes; }
  /// Makes appends of more bytes than this time out without being applied.
  void set_max_answered_append_bytes(std::uint64_t bytes) { max_answered_append_bytes_ = bytes; }
  /// Makes reads by offset fail at once without an effect.
  void set_unavailable(bool unavailable) {
    is_unavailable_ = [unavailable](const PartitionName&) { return unavailable; };
  }
  /// Makes reads by offset of one partition fail likewise.
  void set_unavailable(const PartitionName& partition) {
    is_unavailable_ = [partition](const PartitionName& read) { return read == partition; };
  }
  /// Makes the next read of newest records time out after this number of pages.
  void lose_page_after(int pages) { pages_until_loss_ = pages; }

  /// Returns the reads of topics with this prefix.
  [[nodiscard]] ReadCount reads_of_topics(const std::string& topic_prefix) const {
    return sum([&](const std::string& topic) { return topic.starts_with(topic_prefix); });
  }
  /// Returns the reads of all topics without this prefix.
  [[nodiscard]] ReadCount reads_of_other_topics(const std::string& topic_prefix) const {
    return sum([&](const std::string& topic) { return !topic.starts_with(topic_prefix); });
  }

  const LogLimits& limits() const override { return limits_; }

  boost::asio::awaitable<ReadResult> read(PartitionName partition, RecordOffset from,
                                          std::uint64_t max_bytes, Duration wait) override {
    co_await post_and_wait_if_held(partition.topic);
    if (is_unavailable_ && is_unavailable_(partition)) {
      ++reads_[partition.topic].calls;
      ReadResult refused;
      refused.status = LogStatus::kNotDone;
      co_return refused;
    }
    if (max_bytes > max_answered_read_bytes_ && partition.topic != kJobsTopic) {
      ++reads_[partition.topic].calls;
      co_return ReadResult();
    }
    ReadResult result = model_->read(partition, from, max_bytes);
    if (result.status == LogStatus::kOk && result.records.empty() && wait.count() > 0) {
      Timer timer(gate_.get_executor(), wait);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    count(partition.topic, result.records);
    co_return result;
  }

  boost::asio::awaitable<AppendResult> append(PartitionName partition,
                                              std::vector<KeyedRecord> records,
                                              std::optional<RecordOffset> expected_end) override {
    const bool held =
        !held_append_prefix_.empty() && partition.topic.starts_with(held_append_prefix_);
    if (held) co_await wait_until_released();
    std::uint64_t bytes = 0;
    for (const auto& record : records) bytes += record.key.size() + record.value.size();
    if (bytes > max_answered_append_bytes_) co_return AppendResult();
    co_return model_->append(partition, records, expected_end);
  }

  boost::asio::awaitable<ReadResult> read_newest(PartitionName partition, KeyRange range,
                                                 Duration /*patience*/) override {
    ReadResult result;
    emulator::NewestPage page;
    bool first_page = true;
    bool more = true;
    while (more) {
      co_await post_and_wait_if_held(partition.topic);
      if (pages_until_loss_ >= 0 && pages_until_loss_-- == 0) {
        if (!first_page) result.resume_after = range.after;
        co_return result;
      }
      page = model_->read_newest_page(partition, range.after);
      count(partition.topic, page.records);
      if (first_page) result.end = page.end;
      first_page = false;
      more = page.more;
      for (auto& record : page.records) {
        range.after = record.key;
        const bool behind = !range.through.empty() && record.key > range.through;
        if (behind) more = false;
        if (!behind) result.records.push_back(std::move(record));
      }
    }
    result.status = LogStatus::kOk;
    co_return result;
  }

  boost::asio::awaitable<GroupAssignment> join(GroupMember /*member*/) override {
    GroupAssignment assignment;
    assignment.status = LogStatus::kOk;
    assignment.generation = 1;
    assignment.slots.resize(limits_.group_slots);
    std::iota(assignment.slots.begin(), assignment.slots.end(), 0);
    co_return assignment;
  }
  boost::asio::awaitable<MemberList> members(std::string /*group*/) override {
    MemberList list;
    list.status = LogStatus::kOk;
    list.names = {"node"};
    co_return list;
  }
  boost::asio::awaitable<LogStatus> leave(GroupMember /*member*/) override {
    co_return LogStatus::kOk;
  }

 private:
  /// Continues in a later iteration of the event loop, so that calls overlap, and waits if reads of
  /// the topic are held.
  boost::asio::awaitable<void> post_and_wait_if_held(std::string topic) {
    co_await boost::asio::post(gate_.get_executor(), boost::asio::use_awaitable);
    if (held_read_prefix_.empty() || !topic.starts_with(held_read_prefix_)) co_return;
    co_await wait_until_released();
  }
  boost::asio::awaitable<void> wait_until_released() {
    max_held_ = std::max(max_held_, ++held_);
    boost::system::error_code opened;
    co_await gate_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, opened));
    --held_;
  }
  void close_gate() { gate_.expires_at(boost::asio::steady_timer::time_point::max()); }

  void count(const std::string& topic, const std::vector<StoredRecord>& records) {
    ReadCount& reads = reads_[topic];
    ++reads.calls;
    for (const auto& record : records) reads.bytes += record.key.size() + record.value.size();
  }
  template <typename Predicate>
  [[nodiscard]] ReadCount sum(const Predicate& counts) const {
    ReadCount total;
    for (const auto& [topic, reads] : reads_) {
      if (!counts(topic)) continue;
      total.calls += reads.calls;
      total.bytes += reads.bytes;
    }
    return total;
  }

  std::shared_ptr<emulator::LogModel> model_;
  LogLimits limits_;
  boost::asio::steady_timer gate_;  ///< Never expires; cancelled to release held calls.
  std::string held_read_prefix_;
  std::string held_append_prefix_;
  std::uint64_t max_answered_read_bytes_ = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t max_answered_append_bytes_ = std::numeric_limits<std::uint64_t>::max();
  std::function<bool(const PartitionName&)> is_unavailable_;  ///< Null: none is.
  int pages_until_loss_ = -1;                                 ///< Negative: no page is lost.
  int held_ = 0;
  int max_held_ = 0;
  std::map<std::string, ReadCount> reads_;
};

}  // namespace stoathold
