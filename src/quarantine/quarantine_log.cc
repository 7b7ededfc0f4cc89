#include "quarantine/quarantine_log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/timer.h"
#include "core/codec.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

const PartitionName kQuarantinePartition{"quarantine", 0};
/// Long-poll timeout for reading records: following the log costs each node one call per timeout.
constexpr Duration kReadWait = std::chrono::seconds(5);
/// Interval of the checks for expired quarantines.
constexpr Duration kExpiryInterval = std::chrono::seconds(5);

bool decode_record(const std::string& bytes, QuarantineRecord& record) {
  if (decode_value(bytes, record)) return true;
  QuarantineRecordWithoutTrials earlier;
  if (!decode_value(bytes, earlier)) return false;
  record = {.since_ms = earlier.since_ms, .exits = earlier.exits};
  return true;
}

}  // namespace

QuarantineLog::QuarantineLog(asio::any_io_executor executor, RecordLog& log, Quarantine& quarantine)
    : executor_(std::move(executor)),
      log_(log),
      quarantine_(quarantine),
      replica_(std::make_shared<PartitionReplica>(log, kQuarantinePartition, *this)) {
  quarantine_.set_quarantined_handler([this](ContentHash content, std::size_t /*exits*/) {
    own_records_.insert(content);
    write(content, Change::kRecord);
  });
  quarantine_.set_progress_handler([this](ContentHash content) { write(content, Change::kLift); });
}

asio::awaitable<bool> QuarantineLog::claim_trial(QuarantineTrial trial) {
  const TimePoint now = monotonic_now();
  const ContentHash content = trial.key;
  const bool is_due = quarantine_.is_trial_due(content, now, trial.scope, trial.limit);
  if (claiming_.contains(content) || !is_due) co_return false;
  claiming_.insert(content);
  const QuarantineRecord record = quarantine_.make_trial_record(content, now, wall_clock_ms());
  const std::vector<KeyedRecord> records{{to_hex(value_of(content)), encode_value(record)}};
  const std::optional<RecordOffset> expected_end = replica_->next_offset();
  // If another node has claimed the trial or lifted the quarantine, the log has a later end.
  const AppendResult result = co_await log_.append(kQuarantinePartition, records, expected_end);
  claiming_.erase(content);
  log_event(Event::kQuarantineTrial, {{"content", to_hex(value_of(content))},
                                      {"ends", std::to_string(record.exits)},
                                      {"trial", std::to_string(record.trials)},
                                      {"claim", std::string(to_string(result.status))}});
  if (result.status != LogStatus::kOk) co_return false;
  replica_->apply_appended(result.offset, records);
  co_return true;
}

void QuarantineLog::start() {
  const auto forever = [] { return true; };
  asio::co_spawn(executor_, replica_->follow(forever, Duration{0}, kReadWait), asio::detached);
  asio::co_spawn(executor_, expire_periodically(), asio::detached);
}

void QuarantineLog::apply(const StoredRecord& record) {
  std::uint64_t hash = 0;
  QuarantineRecord value;
  const bool readable =
      parse_hex(record.key, hash) && (record.value.empty() || decode_record(record.value, value));
  if (!readable) {
    log_event(Event::kRecordMalformed,
              {{"key", record.key}, {"offset", std::to_string(record.offset)}});
    return;
  }
  if (record.value.empty()) {
    pending_changes_.erase(ContentHash{hash});
    quarantine_.lift(ContentHash{hash}, {.position = record.offset + 1, .at = monotonic_now()});
  } else {
    quarantine_.apply_record(ContentHash{hash}, value, monotonic_now(), wall_clock_ms());
  }
}

void QuarantineLog::reset(const std::vector<StoredRecord>& newest, RecordOffset /*end*/) {
  std::set<ContentHash> contents;
  // The deletion of a record that is missing here has an unknown position; it is not before this.
  RecordOffset position = 0;
  for (const auto& record : newest) {
    apply(record);
    position = std::max(position, record.offset + 1);
    std::uint64_t hash = 0;
    if (!record.value.empty() && parse_hex(record.key, hash)) contents.insert(ContentHash{hash});
  }
  quarantine_.retain_only(contents, {.position = position, .at = monotonic_now()});
}

void QuarantineLog::write(ContentHash content, Change change) {
  pending_changes_[content] = change;
  if (writing_) return;
  writing_ = true;
  asio::co_spawn(executor_, write_all(), asio::detached);
}

std::vector<KeyedRecord> QuarantineLog::take_records() {
  const TimePoint now = monotonic_now();
  std::erase_if(pending_changes_, [&](const auto& entry) {
    const auto& [content, change] = entry;
    if (change == Change::kRecord) return !quarantine_.needs_record(content, now);
    return change == Change::kExpire && quarantine_.contains(content, now);
  });
  std::vector<KeyedRecord> records;
  for (const auto& [content, change] : pending_changes_) {
    KeyedRecord& record = records.emplace_back();
    record.key = to_hex(value_of(content));
    if (change != Change::kRecord) continue;
    record.value = encode_value(quarantine_.make_record(content, now, wall_clock_ms()));
  }
  return records;
}

/// Each append is conditional, so that one that is applied late cannot replace a newer record: of a
/// trial, a lift or a later quarantine.
asio::awaitable<void> QuarantineLog::write_all() {
  Backoff backoff;
  Timer timer(executor_);
  while (true) {
    const std::vector<KeyedRecord> records = take_records();
    if (records.empty()) break;
    const std::map<ContentHash, Change> sent = pending_changes_;
    const std::optional<RecordOffset> expected_end = replica_->next_offset();
    const AppendResult result = co_await log_.append(kQuarantinePartition, records, expected_end);
    if (result.status == LogStatus::kOk) {
      backoff.reset();
      std::erase_if(pending_changes_, [&](const auto& entry) {
        const auto found = sent.find(entry.first);
        return found != sent.end() && found->second == entry.second;
      });
      replica_->apply_appended(result.offset, records);
      continue;
    }
    const LogStatus read = co_await replica_->catch_up();
    if (result.status == LogStatus::kConflict && read == LogStatus::kOk) continue;
    timer.expires_after(backoff.next());
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  writing_ = false;
}

asio::awaitable<void> QuarantineLog::expire_periodically() {
  Timer timer(executor_);
  while (true) {
    timer.expires_after(kExpiryInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    for (const ContentHash content : quarantine_.expire(monotonic_now())) {
      if (own_records_.erase(content) > 0) write(content, Change::kExpire);
    }
  }
}

}  // namespace stoathold
