/// @file
/// A record log for tests that wraps the emulator's in-process log model and injects faults.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>

#include "emulator/log_model.h"
#include "jobs/job_store.h"
#include "store/record_log.h"

namespace stoathold {

/// Faults injected into the following calls. Each affected call decrements its count.
struct LogFaults {
  bool down = false;         ///< Every call is refused and has no effect.
  bool allow_reads = false;  ///< Reads by offset succeed even while `down`.
  int lose_answers = 0;      ///< Appends are applied, but the answer is lost.
  int drop_appends = 0;      ///< Appends are not applied and get no answer.
  int delayed_appends = 0;   ///< Appends get no answer and wait for `apply_delayed`.
  std::string topic;         ///< Only appends to this topic fail; empty: to any topic.
  std::function<void()> after_delayed_append;  ///< Called after an append was delayed.
  /// Called before an append with a condition, e.g. to let another node append first.
  std::function<void(const PartitionName&)> before_conditional_append;
  /// An append with a record for which this returns true is rejected as a whole; null: none is.
  std::function<bool(const KeyedRecord&)> rejects;
  std::uint64_t max_append_bytes = 0;  ///< Larger appends are rejected; 0: none is.
};

/// Timeouts and backoff short enough that retries take negligible time.
inline JobStoreTiming short_timeouts() {
  JobStoreTiming timing;
  timing.operation_timeout = std::chrono::milliseconds(20);
  timing.retries = {std::chrono::microseconds(10), std::chrono::microseconds(100)};
  return timing;
}

/// Limits under which small jobs have many records, with few slots.
inline LogLimits small_limits() {
  LogLimits limits;
  limits.record_bytes = 2000;
  limits.call_bytes = 8000;
  limits.partitions = 4;
  limits.group_slots = 16;
  return limits;
}

/// One node's connection to a shared log. Calls complete immediately, except that a read that may
/// wait for records and finds none waits for its full timeout.
class FaultyRecordLog final : public RecordLog {
 public:
  FaultyRecordLog(std::shared_ptr<emulator::LogModel> model, LogLimits limits)
      : model_(std::move(model)), limits_(limits) {}

  LogFaults faults;
  /// Number of appends that were applied.
  int appends = 0;
  /// Number of appends that were rejected.
  int rejected_appends = 0;
  /// Slots assigned to each member of a group; empty: the group cannot be joined.
  std::vector<std::uint32_t> held_slots;
  /// Duration of a read of the newest records, and the highest number of concurrent such reads.
  Duration newest_read_time{0};
  int max_concurrent_newest_reads = 0;
  /// Number of reads by offset, and of records returned by reads.
  int reads = 0;
  std::size_t records_read = 0;

  /// Applies the delayed appends whose conditions still hold.
  void apply_delayed() {
    const auto kept = std::exchange(delayed_, {});
    for (const auto& append : kept) append();
  }

  const LogLimits& limits() const override { return limits_; }

  boost::asio::awaitable<ReadResult> read(PartitionName partition, RecordOffset from,
                                          std::uint64_t max_bytes, Duration wait) override {
    ++reads;
    ReadResult result;
    result.status = LogStatus::kNotDone;
    if (!faults.down || faults.allow_reads) result = model_->read(partition, from, max_bytes);
    if (result.status == LogStatus::kOk && result.records.empty() && wait.count() > 0) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, wait);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    records_read += result.records.size();
    co_return result;
  }

  boost::asio::awaitable<AppendResult> append(PartitionName partition,
                                              std::vector<KeyedRecord> records,
                                              std::optional<RecordOffset> expected_end) override {
    if (expected_end && faults.before_conditional_append) {
      faults.before_conditional_append(partition);
    }
    AppendResult result;
    const bool exempt = !faults.topic.empty() && faults.topic != partition.topic;
    if (rejects_append(records)) {
      ++rejected_appends;
      result.status = LogStatus::kRejected;
    } else if (exempt) {
      result = model_->append(partition, records, expected_end);
    } else if (faults.down) {
      result.status = LogStatus::kNotDone;
    } else if (faults.drop_appends > 0) {
      --faults.drop_appends;
    } else if (faults.delayed_appends > 0) {
      --faults.delayed_appends;
      delayed_.push_back([model = model_, partition, records, expected_end] {
        model->append(partition, records, expected_end);
      });
      if (faults.after_delayed_append) faults.after_delayed_append();
    } else {
      result = model_->append(partition, records, expected_end);
      if (result.status == LogStatus::kOk) ++appends;
      if (faults.lose_answers > 0) {
        --faults.lose_answers;
        result = AppendResult{};
      }
    }
    co_return result;
  }

  boost::asio::awaitable<ReadResult> read_newest(PartitionName partition, KeyRange range,
                                                 Duration /*patience*/) override {
    ReadResult result;
    result.status = LogStatus::kNotDone;
    if (newest_read_time.count() > 0) {
      max_concurrent_newest_reads = std::max(max_concurrent_newest_reads, ++active_newest_reads_);
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, newest_read_time);
      co_await timer.async_wait(boost::asio::use_awaitable);
      --active_newest_reads_;
    }
    if (!faults.down) result = model_->read_newest(partition, range);
    records_read += result.records.size();
    co_return result;
  }

  boost::asio::awaitable<GroupAssignment> join(GroupMember /*member*/) override {
    GroupAssignment assignment;
    assignment.status = held_slots.empty() ? LogStatus::kNotDone : LogStatus::kOk;
    assignment.generation = 1;
    assignment.slots = held_slots;
    co_return assignment;
  }
  boost::asio::awaitable<MemberList> members(std::string /*group*/) override {
    MemberList list;
    list.status = LogStatus::kNotDone;
    co_return list;
  }
  boost::asio::awaitable<LogStatus> leave(GroupMember /*member*/) override {
    co_return LogStatus::kOk;
  }

 private:
  [[nodiscard]] bool rejects_append(const std::vector<KeyedRecord>& records) const {
    std::uint64_t bytes = 0;
    for (const auto& record : records) bytes += record.key.size() + record.value.size();
    if (faults.max_append_bytes > 0 && bytes > faults.max_append_bytes) return true;
    return faults.rejects && std::any_of(records.begin(), records.end(), faults.rejects);
  }

  std::shared_ptr<emulator::LogModel> model_;
  LogLimits limits_;
  std::vector<std::function<void()>> delayed_;
  int active_newest_reads_ = 0;
};

}  // namespace stoathold
