#include "jobs/job_store.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/ids.h"
#include "base/timer.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Between two reads of the jobs that bring something: a job may begin this much later.
constexpr Duration kFollowPace = std::chrono::milliseconds(250);
/// Between two reads of the jobs by a node that runs none: only erased jobs are to be forgotten,
/// and they live for many times as long.
constexpr Duration kRestPace = std::chrono::seconds(10);
/// Longest time that a read waits before it looks once more for a result.
constexpr Duration kResultWait = std::chrono::milliseconds(700);
/// Most bytes asked for at once when a request is read, beyond its own.
constexpr std::uint64_t kReadSlackBytes = 1024;
/// Bytes of a record that are not the value: length, key length and key.
constexpr std::uint64_t kRecordOverhead = 300;

}  // namespace

std::string_view to_string(SubmitStatus status) {
  switch (status) {
    case SubmitStatus::kAccepted:
      return "accepted";
    case SubmitStatus::kQuota:
      return "quota";
    case SubmitStatus::kRefused:
      return "refused";
    case SubmitStatus::kUncertain:
      return "uncertain";
    case SubmitStatus::kInvalid:
      break;
  }
  return "invalid";
}

JobStore::JobStore(asio::any_io_executor executor, RecordLog& log, std::string writer_name,
                   JobStoreTiming timing)
    : executor_(std::move(executor)),
      log_(log),
      writer_name_(std::move(writer_name)),
      timing_(timing) {}

std::string JobStore::unique_name() {
  return writer_name_ + "-" + std::to_string(next_unique_++);
}

asio::awaitable<void> JobStore::pause(Duration duration) {
  Timer timer(executor_, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

JobStore::JobsPartition& JobStore::jobs_of(const std::string& host) {
  const std::uint32_t number = jobs_partition(host, log_.limits().partitions);
  JobsPartition& partition = jobs_[number];
  if (partition.replica) return partition;
  partition.table = std::make_unique<JobTable>([this](const JobKey& key, const JobEntry& job) {
    if (listener_) listener_(key, job);
  });
  const PartitionName name{kJobsTopic, number};
  partition.replica = std::make_shared<PartitionReplica>(log_, name, *partition.table);
  partition.replica->set_loaded_listener([this] { partition_loaded(); });
  return partition;
}

void JobStore::partition_loaded() const {
  for (const auto& [number, partition] : jobs_) {
    if (partition.followed && !partition.replica->health().loaded) return;
  }
  if (loaded_listener_) loaded_listener_();
}

const ItemProgress* JobStore::progress_of(const JobKey& key, std::uint32_t item) {
  const JobProgress& progress = progress_[key];
  const auto found = progress.find(item);
  return found == progress.end() ? nullptr : &found->second;
}

void JobStore::follow_host(const std::string& host) {
  JobsPartition& partition = jobs_of(host);
  if (partition.followed) return;
  partition.followed = true;
  // A caller's read may have loaded jobs before; the replica will not deliver them again.
  for (const auto& [key, job] : partition.table->jobs()) {
    if (listener_) listener_(key, job);
  }
  asio::co_spawn(executor_, keep_up(partition), asio::detached);
}

void JobStore::set_running_jobs(bool running) {
  running_jobs_ = running;
  for (auto& [number, partition] : jobs_) {
    if (running && partition.rest) partition.rest->cancel();
  }
}

/// Of a large fleet's nodes few run jobs; were all to follow them, most of the calls to the log
/// would be theirs.
asio::awaitable<void> JobStore::keep_up(JobsPartition& partition) {
  partition.rest = std::make_unique<Timer>(executor_);
  const std::function<bool()> running = [this] { return running_jobs_; };
  while (true) {
    co_await partition.replica->follow(running, kFollowPace);
    partition.rest->expires_after(kRestPace);
    co_await partition.rest->async_wait(asio::as_tuple(asio::use_awaitable));
    if (!running_jobs_) co_await partition.replica->catch_up();
  }
}

const ListedResults& JobStore::results_of(const JobKey& key) {
  return results_[key];
}

void JobStore::for_each_job(
    const std::function<void(const JobKey&, const JobEntry&)>& visit) const {
  for (const auto& [number, partition] : jobs_) {
    if (!partition.followed) continue;
    for (const auto& [key, job] : partition.table->jobs()) visit(key, job);
  }
}

bool JobStore::fits(const JobTable& table, const NewJob& job) {
  if (job.max_queued_tokens == 0) return true;
  const std::uint64_t queued = table.queued_tokens(job.submission.route, job.submission.tenant);
  return queued + job.submission.tokens() <= job.max_queued_tokens;
}

asio::awaitable<LogStatus> JobStore::append_until(PartitionName partition,
                                                  std::vector<KeyedRecord> records,
                                                  TimePoint deadline, AppendResult& result) {
  Backoff backoff(timing_.retries);
  while (true) {
    result = co_await log_.append(partition, records, std::nullopt);
    if (result.status == LogStatus::kOk || result.status == LogStatus::kRejected) break;
    const Duration wait = backoff.next();
    if (monotonic_now() + wait >= deadline) break;
    co_await pause(wait);
  }
  co_return result.status;
}

asio::awaitable<LogStatus> JobStore::append_bodies(JobKey key, NewJob& job, TimePoint deadline) {
  const LogLimits& limits = log_.limits();
  const std::uint64_t piece_bytes = limits.record_bytes - kRecordOverhead;
  const PartitionName partition{kBodiesTopic, job_partition(key, limits.partitions)};
  auto& items = job.submission.items;
  std::size_t item = 0;
  while (item < items.size()) {
    // As many whole items as fit into one call; a larger one goes alone, and in several calls.
    std::vector<KeyedRecord> records;
    std::vector<std::size_t> first_records;
    std::uint64_t bytes = 0;
    const std::size_t first_item = item;
    while (item < items.size()) {
      const std::string request = encode(job.requests[item]);
      const std::uint64_t pieces = (request.size() + piece_bytes - 1) / piece_bytes;
      const std::uint64_t size = request.size() + pieces * kRecordOverhead;
      if (!records.empty() && bytes + size > limits.call_bytes) break;
      first_records.push_back(records.size());
      items[item].body_bytes = size;
      items[item].body_records = static_cast<std::uint32_t>(pieces);
      for (std::uint32_t piece = 0; piece < pieces; ++piece) {
        records.push_back({body_record_key(key, static_cast<std::uint32_t>(item), piece),
                           request.substr(piece * piece_bytes, piece_bytes)});
      }
      bytes += size;
      ++item;
    }
    if (bytes > limits.call_bytes) co_return LogStatus::kRejected;
    AppendResult result;
    const LogStatus status = co_await append_until(partition, std::move(records), deadline, result);
    if (status != LogStatus::kOk) co_return status;
    for (std::size_t i = first_item; i < item; ++i) {
      items[i].body_offset = result.offset + first_records[i - first_item];
    }
  }
  co_return LogStatus::kOk;
}

asio::awaitable<SubmitStatus> JobStore::append_submission(JobsPartition& partition, JobKey key,
                                                          NewJob& job, TimePoint deadline) {
  const std::vector<KeyedRecord> records{
      {jobs_record_key(JobRecordKind::kSubmitted, key), encode(job.submission)}};
  if (records.front().value.size() + kRecordOverhead > log_.limits().record_bytes) {
    co_return SubmitStatus::kInvalid;
  }
  const auto replica = partition.replica;
  Backoff backoff(timing_.retries);
  bool uncertain = false;  // An append without an answer may still be done.
  while (true) {
    if (partition.table->find(key) != nullptr) co_return SubmitStatus::kAccepted;
    if (!uncertain && !fits(*partition.table, job)) co_return SubmitStatus::kQuota;
    const RecordOffset expected = replica->next_offset();
    const AppendResult result =
        co_await log_.append(replica->name(), records, std::optional(expected));
    if (result.status == LogStatus::kRejected) co_return SubmitStatus::kInvalid;
    if (result.status == LogStatus::kOk) {
      replica->apply_appended(result.offset, records);
      co_return SubmitStatus::kAccepted;
    }
    uncertain = uncertain || result.status == LogStatus::kUnknown;
    if (result.status != LogStatus::kConflict) co_await pause(backoff.next());
    const LogStatus read = co_await replica->catch_up();
    if (read != LogStatus::kOk) co_await pause(backoff.next());
    // Behind the expected end, a late append's condition can no longer hold: its fate is known.
    if (read == LogStatus::kOk && replica->next_offset() > expected) uncertain = false;
    if (monotonic_now() >= deadline) break;
  }
  if (partition.table->find(key) != nullptr) co_return SubmitStatus::kAccepted;
  co_return uncertain ? SubmitStatus::kUncertain : SubmitStatus::kRefused;
}

asio::awaitable<SubmitStatus> JobStore::submit(NewJob job) {
  const JobKey key = make_job_key(job.submission.host, job.submission.id);
  const TimePoint deadline = monotonic_now() + timing_.settle_time;
  JobsPartition& partition = jobs_of(job.submission.host);
  if (partition.table->find(key) != nullptr) co_return SubmitStatus::kAccepted;
  const auto replica = partition.replica;
  const LogStatus read = co_await replica->catch_up();
  if (partition.table->find(key) != nullptr) co_return SubmitStatus::kAccepted;
  if (read != LogStatus::kOk) co_return SubmitStatus::kRefused;
  if (!fits(*partition.table, job)) co_return SubmitStatus::kQuota;
  const LogStatus bodies = co_await append_bodies(key, job, deadline);
  if (bodies == LogStatus::kRejected) co_return SubmitStatus::kInvalid;
  if (bodies != LogStatus::kOk) co_return SubmitStatus::kRefused;
  co_return co_await append_submission(partition, key, job, deadline);
}

asio::awaitable<LookupStatus> JobStore::find(std::string host, JobKey key, const JobEntry*& job) {
  JobsPartition& partition = jobs_of(host);
  job = partition.table->find(key);
  if (job != nullptr) co_return LookupStatus::kFound;
  const auto replica = partition.replica;
  const LogStatus status = co_await replica->catch_up();
  job = partition.table->find(key);
  if (job != nullptr) co_return LookupStatus::kFound;
  co_return status == LogStatus::kOk ? LookupStatus::kAbsent : LookupStatus::kUncertain;
}

asio::awaitable<ResultPage> JobStore::read_results(std::string host, JobKey key,
                                                   std::uint64_t position, Duration wait) {
  ResultPage page;
  page.status = co_await find(host, key, page.job);
  if (page.status != LookupStatus::kFound) co_return page;
  const bool whole = position >= page.job->submission.items.size();
  const auto is_known = [&] { return results_[key].listed().size() > position; };
  if (!whole && !is_known()) {
    LogStatus status = co_await refresh_results(key);
    if (status == LogStatus::kOk && wait.count() > 0 && !is_known()) {
      co_await pause(std::min(wait, kResultWait));
      status = co_await refresh_results(key);
    }
    if (status != LogStatus::kOk) page.status = LookupStatus::kUncertain;
    if (status != LogStatus::kOk) co_return page;
  }
  page.job = jobs_of(host).table->find(key);
  page.results = &results_[key];
  if (page.job == nullptr) page.status = LookupStatus::kAbsent;
  co_return page;
}

asio::awaitable<LogStatus> JobStore::mark(std::string host, JobRecordKind kind, JobKey key,
                                          std::string value) {
  JobsPartition& partition = jobs_of(host);
  const auto replica = partition.replica;
  const std::vector<KeyedRecord> records{{jobs_record_key(kind, key), std::move(value)}};
  AppendResult result;
  const TimePoint deadline = monotonic_now() + timing_.settle_time;
  const LogStatus status = co_await append_until(replica->name(), records, deadline, result);
  if (status == LogStatus::kOk) replica->apply_appended(result.offset, records);
  co_return status;
}

asio::awaitable<LogStatus> JobStore::end(std::string host, JobKey key) {
  co_return co_await mark(host, JobRecordKind::kEnded, key, "1");
}

asio::awaitable<LookupStatus> JobStore::read_request(JobKey key, std::uint32_t index, JobItem item,
                                                     ItemRequest& request) {
  const PartitionName partition{kBodiesTopic, job_partition(key, log_.limits().partitions)};
  const std::uint64_t bytes = item.body_bytes + kReadSlackBytes;
  ReadResult result = co_await log_.read(partition, item.body_offset, bytes, Duration{0});
  if (result.status == LogStatus::kTruncated) {
    KeyRange range;
    range.after = body_record_key(key, index, 0);
    range.after.pop_back();
    range.through = body_record_key(key, index, item.body_records - 1);
    result = co_await log_.read_newest(partition, range, kPagePatience);
    std::sort(
        result.records.begin(), result.records.end(),
        [](const StoredRecord& left, const StoredRecord& right) { return left.key < right.key; });
  }
  if (result.status != LogStatus::kOk) co_return LookupStatus::kUncertain;
  std::string encoded;
  for (std::uint32_t piece = 0; piece < item.body_records; ++piece) {
    const bool present = piece < result.records.size() &&
                         result.records[piece].key == body_record_key(key, index, piece);
    if (!present) co_return LookupStatus::kAbsent;
    encoded += result.records[piece].value;
  }
  co_return decode(encoded, request) ? LookupStatus::kFound : LookupStatus::kAbsent;
}

asio::awaitable<LogStatus> JobStore::refresh_results(JobKey key, Duration patience) {
  const PartitionName partition{kResultsTopic, job_partition(key, log_.limits().partitions)};
  const KeyRange range = results_[key].unread_range(key);
  ReadResult read = co_await log_.read_newest(partition, range, patience);
  const LogStatus status = read.status;
  if (status == LogStatus::kOk) results_[key].add(std::move(read));
  co_return status;
}

asio::awaitable<LogStatus> JobStore::refresh_progress(JobKey key, Duration patience) {
  const PartitionName partition{kProgressTopic, job_partition(key, log_.limits().partitions)};
  const KeyRange range = progress_key_range(key);
  const ReadResult read = co_await log_.read_newest(partition, range, patience);
  if (read.status == LogStatus::kOk) add_progress(read.records, progress_[key]);
  co_return read.status;
}

asio::awaitable<LogStatus> JobStore::write_progress(std::uint32_t partition,
                                                    std::vector<KeyedRecord> records) {
  const PartitionName name{kProgressTopic, partition};
  const AppendResult result = co_await log_.append(name, std::move(records), std::nullopt);
  co_return result.status;
}

asio::awaitable<bool> JobStore::append_results(std::uint32_t partition,
                                               std::function<std::vector<KeyedRecord>()> make,
                                               std::function<bool()> running) {
  const PartitionName name{kResultsTopic, partition};
  Backoff backoff(timing_.retries);
  while (running()) {
    const AppendResult result = co_await log_.append(name, make(), std::nullopt);
    if (result.status == LogStatus::kOk) co_return true;
    co_await pause(backoff.next());
  }
  co_return false;
}

bool JobStore::is_known(const JobKey& key) const {
  return std::any_of(jobs_.begin(), jobs_.end(),
                     [&](const auto& entry) { return entry.second.table->find(key) != nullptr; });
}

void JobStore::forget_erased() {
  std::erase_if(results_, [&](const auto& entry) { return !is_known(entry.first); });
  std::erase_if(progress_, [&](const auto& entry) { return !is_known(entry.first); });
}

asio::awaitable<void> JobStore::erase(std::string host, JobKey key) {
  const std::uint32_t number = job_partition(key, log_.limits().partitions);
  const TimePoint deadline = monotonic_now() + timing_.settle_time;
  constexpr std::size_t kDeletionsPerCall = 500;
  for (const char* topic : {kBodiesTopic, kResultsTopic, kProgressTopic}) {
    const PartitionName partition{topic, number};
    const KeyRange range = job_key_range(key);
    const ReadResult found = co_await log_.read_newest(partition, range, kPagePatience);
    if (found.status != LogStatus::kOk) co_return;
    for (std::size_t first = 0; first < found.records.size(); first += kDeletionsPerCall) {
      std::vector<KeyedRecord> deletions;
      const std::size_t last = std::min(found.records.size(), first + kDeletionsPerCall);
      for (std::size_t i = first; i < last; ++i) deletions.push_back({found.records[i].key, {}});
      AppendResult result;
      const LogStatus status =
          co_await append_until(partition, std::move(deletions), deadline, result);
      if (status != LogStatus::kOk) co_return;
    }
  }
  const auto replica = jobs_of(host).replica;
  std::vector<KeyedRecord> marks;
  for (const auto kind : {JobRecordKind::kEnded, JobRecordKind::kFinished, JobRecordKind::kProgress,
                          JobRecordKind::kSubmitted}) {
    marks.push_back({jobs_record_key(kind, key), {}});
  }
  AppendResult result;
  co_await append_until(replica->name(), std::move(marks), deadline, result);
}

}  // namespace stoathold
