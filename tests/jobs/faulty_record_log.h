/// @file
/// A record log for tests: the emulator's model in this process, with faults switched on by tests.
#pragma once

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

/// Faults of the next calls. Counts go down as they are used.
struct LogFaults {
  bool down = false;         ///< Every call is refused; nothing is done.
  bool allow_reads = false;  ///< Reads are answered even so.
  int lose_answers = 0;      ///< Appends are done, but the answer is lost.
  int drop_appends = 0;      ///< Appends are not done, and there is no answer.
  int delayed_appends = 0;   ///< No answer; done when `apply_late` is called.
  std::string topic;         ///< Appends to other topics are spared; empty: none are.
  std::function<void()> after_delayed_append;  ///< Called after an append was kept back.
};

/// Times under which retries take no time worth mentioning.
inline JobStoreTiming quick_timing() {
  JobStoreTiming timing;
  timing.operation_timeout = std::chrono::milliseconds(20);
  timing.retries = {std::chrono::microseconds(10), std::chrono::microseconds(100)};
  return timing;
}

/// Sizes that make small jobs of many records, and few slots.
inline LogLimits small_limits() {
  LogLimits limits;
  limits.record_bytes = 2000;
  limits.call_bytes = 8000;
  limits.partitions = 4;
  limits.group_slots = 16;
  return limits;
}

/// One node's way to a log that several share. Calls complete at once, but a read that may wait for
/// records and finds none waits for all of its time.
class FaultyRecordLog final : public RecordLog {
 public:
  FaultyRecordLog(std::shared_ptr<emulator::LogModel> model, LogLimits limits)
      : model_(std::move(model)), limits_(limits) {}

  LogFaults faults;
  /// Appends that were answered as done, for tests that count.
  int appends = 0;
  /// Slots that a member of a group holds; none: the group cannot be joined.
  std::vector<std::uint32_t> held_slots;
  /// How long a read of the newest records takes, and the most such reads that were under way at
  /// once.
  Duration newest_read_time{0};
  int max_concurrent_newest_reads = 0;
  /// Records that reads answered.
  std::size_t records_read = 0;

  /// Does the appends that were kept back, if their conditions still hold.
  void apply_delayed() {
    const auto kept = std::exchange(delayed_, {});
    for (const auto& append : kept) append();
  }

  const LogLimits& limits() const override { return limits_; }

  boost::asio::awaitable<ReadResult> read(PartitionName partition, RecordOffset from,
                                          std::uint64_t max_bytes, Duration wait) override {
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
    AppendResult result;
    const bool exempt = !faults.topic.empty() && faults.topic != partition.topic;
    if (exempt) {
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
  std::shared_ptr<emulator::LogModel> model_;
  LogLimits limits_;
  std::vector<std::function<void()>> delayed_;
  int active_newest_reads_ = 0;
};

}  // namespace stoathold
