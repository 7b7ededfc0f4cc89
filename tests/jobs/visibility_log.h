/// @file
/// A node's connection to a shared log whose calls take time and fail at random.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "base/random.h"
#include "base/timer.h"
#include "emulator/log_model.h"
#include "store/record_log.h"

namespace stoathold {

/// Frequencies of faults, in one of 1000 calls, and the state of the log.
struct StoreFaults {
  bool down = false;                 ///< Every call is refused.
  std::uint64_t refused = 0;         ///< Refused without effect.
  std::uint64_t read_lost = 0;       ///< Reads and pages without an answer.
  std::uint64_t answer_lost = 0;     ///< Appends that are applied without an answer.
  std::uint64_t append_lost = 0;     ///< Appends that are never applied and get no answer.
  std::uint64_t append_delayed = 0;  ///< Appends without an answer, applied 1 to 6 s later.
  std::uint64_t slow = 0;            ///< Calls that take up to 1.5 s instead of some 40 ms.
};

/// What all nodes share.
struct SharedStore {
  explicit SharedStore(boost::asio::any_io_executor loop_executor, std::uint64_t seed)
      : executor(std::move(loop_executor)), random(seed) {}

  /// Returns true in `frequency` of 1000 cases.
  bool happens(std::uint64_t frequency) { return random.below(1000) < frequency; }
  Duration latency() {
    constexpr std::uint64_t kUsualMs = 40;
    constexpr std::uint64_t kSlowMs = 1500;
    return std::chrono::milliseconds(random.below(happens(faults.slow) ? kSlowMs : kUsualMs));
  }
  boost::asio::awaitable<void> delay(Duration length) {
    Timer timer(executor, length);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  boost::asio::any_io_executor executor;
  Random random;
  StoreFaults faults;
  emulator::LogModel model;
};

/// One life of a node's connection: once `cut`, its calls do nothing. Answers are later than the
/// state of the log that they hold.
class VisibilityLog final : public RecordLog {
 public:
  explicit VisibilityLog(std::shared_ptr<SharedStore> store) : store_(std::move(store)) {
    limits_.record_bytes = 4000;
    limits_.call_bytes = 2000;
    limits_.partitions = 1;
    limits_.group_slots = 4;
  }

  /// Ends the node's life; appends that are on their way may still be applied.
  void cut() { cut_ = true; }

  const LogLimits& limits() const override { return limits_; }

  boost::asio::awaitable<ReadResult> read(PartitionName partition, RecordOffset from,
                                          std::uint64_t max_bytes, Duration wait) override {
    ReadResult result;
    if (!co_await arrive()) co_return refused();
    const TimePoint deadline = monotonic_now() + wait;
    result = store_->model.read(partition, from, max_bytes / kReadScale);
    while (is_empty(result) && monotonic_now() < deadline && !is_down()) {
      co_await store_->delay(kPollInterval);
      result = store_->model.read(partition, from, max_bytes / kReadScale);
    }
    if (!co_await answer(kCallTimeout)) result = ReadResult();
    co_return result;
  }

  boost::asio::awaitable<AppendResult> append(PartitionName partition,
                                              std::vector<KeyedRecord> records,
                                              std::optional<RecordOffset> expected_end) override {
    AppendResult result;
    result.status = LogStatus::kNotDone;
    if (!co_await arrive()) co_return result;
    result.status = LogStatus::kUnknown;
    if (store_->happens(store_->faults.append_lost)) {
      co_await store_->delay(kCallTimeout);
      co_return result;
    }
    if (store_->happens(store_->faults.append_delayed)) {
      boost::asio::co_spawn(store_->executor,
                            append_late(store_, partition, std::move(records), expected_end),
                            boost::asio::detached);
      co_await store_->delay(kCallTimeout);
      co_return result;
    }
    const AppendResult applied = store_->model.append(partition, records, expected_end);
    const bool lost = store_->happens(store_->faults.answer_lost);
    if (lost) co_await store_->delay(kCallTimeout);
    if (!lost && co_await answer(kCallTimeout)) result = applied;
    co_return result;
  }

  boost::asio::awaitable<ReadResult> read_newest(PartitionName partition, KeyRange range,
                                                 Duration page_timeout) override {
    ReadResult result;
    bool first_page = true;
    bool more = true;
    while (more) {
      const bool arrived = co_await arrive();
      emulator::NewestPage page = store_->model.read_newest_page(partition, range.after);
      const std::size_t size = std::min<std::size_t>(page.records.size(), kPageRecords);
      more = page.more || size < page.records.size();
      page.records.resize(size);
      const bool answered = arrived && co_await answer(page_timeout);
      if (!answered) {
        result.status = arrived ? LogStatus::kUnknown : LogStatus::kNotDone;
        if (!first_page) result.resume_after = range.after;
        co_return result;
      }
      if (first_page) result.end = page.end;
      first_page = false;
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
    co_return GroupAssignment();
  }
  boost::asio::awaitable<MemberList> members(std::string /*group*/) override {
    co_return MemberList();
  }
  boost::asio::awaitable<LogStatus> leave(GroupMember /*member*/) override {
    co_return LogStatus::kNotDone;
  }

 private:
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  /// Reads return this many times less than asked for, so that a few small jobs take several.
  static constexpr std::uint64_t kReadScale = 128;
  static constexpr std::size_t kPageRecords = 3;

  static bool is_empty(const ReadResult& result) {
    return result.status == LogStatus::kOk && result.records.empty();
  }
  static ReadResult refused() {
    ReadResult result;
    result.status = LogStatus::kNotDone;
    return result;
  }
  [[nodiscard]] bool is_down() const { return cut_ || store_->faults.down; }

  /// @return false if the call is refused.
  boost::asio::awaitable<bool> arrive() {
    if (cut_) {
      co_await store_->delay(kPollInterval);
      co_return false;
    }
    const Duration latency = store_->latency();
    co_await store_->delay(latency);
    co_return !is_down() && !store_->happens(store_->faults.refused);
  }
  /// @return false if the answer is lost or late.
  boost::asio::awaitable<bool> answer(Duration timeout) {
    const Duration latency = store_->latency();
    const bool lost = store_->happens(store_->faults.read_lost) || latency > timeout;
    co_await store_->delay(lost ? timeout : latency);
    co_return !lost && !cut_;
  }
  static boost::asio::awaitable<void> append_late(std::shared_ptr<SharedStore> store,
                                                  PartitionName partition,
                                                  std::vector<KeyedRecord> records,
                                                  std::optional<RecordOffset> expected_end) {
    constexpr std::uint64_t kSpreadMs = 5000;
    const Duration late = std::chrono::milliseconds(1000 + store->random.below(kSpreadMs));
    co_await store->delay(late);
    store->model.append(partition, records, expected_end);
  }

  std::shared_ptr<SharedStore> store_;
  LogLimits limits_;
  bool cut_ = false;
};

}  // namespace stoathold
