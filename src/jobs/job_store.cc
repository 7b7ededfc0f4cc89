#include "jobs/job_store.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/ids.h"
#include "base/timer.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Minimum interval between two reads that return jobs; delays the start of a job by up to as much.
constexpr Duration kFollowInterval = std::chrono::milliseconds(250);
/// Interval between two reads of the jobs by a node that runs none. It only has to drop erased
/// jobs, whose lifetime is many times as long.
constexpr Duration kIdlePollInterval = std::chrono::seconds(10);

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
      timing_(timing),
      data_(executor_, log, timing.retries) {}

std::string JobStore::unique_name() {
  // Fixed width, so that texts written in the same millisecond sort in the order of writing.
  constexpr std::size_t kDigits = 7;
  const std::string number = std::to_string(next_unique_++);
  const std::size_t zeros = kDigits - std::min(kDigits, number.size());
  return writer_name_ + "-" + std::string(zeros, '0') + number;
}

asio::awaitable<void> JobStore::sleep_for(Duration duration) {
  Timer timer(executor_, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

JobStore::JobsPartition& JobStore::partition_for_host(const std::string& host) {
  JobsPartition& partition = partition_at(jobs_partition(host, log_.limits().partitions));
  const bool is_first_use = !std::exchange(partition.shared, true);
  if (is_first_use && replica_sharer_) replica_sharer_(partition.replica, *partition.cache);
  return partition;
}

JobStore::JobsPartition& JobStore::partition_at(std::uint32_t number) {
  JobsPartition& partition = jobs_[number];
  if (partition.replica) return partition;
  partition.table =
      std::make_unique<JobTable>([this, &partition](const JobKey& key, const JobEntry& job) {
        const bool should_notify = partition.reported && partition.replica->health().loaded;
        if (should_notify && listener_) listener_(key, job);
      });
  const PartitionName name{kJobsTopic, number};
  partition.cache = std::make_unique<TopicCache>(executor_, *partition.table);
  partition.replica = std::make_shared<PartitionReplica>(log_, name, *partition.cache);
  partition.replica->set_loaded_listener([this, &partition] { partition_loaded(partition); });
  return partition;
}

void JobStore::partition_loaded(const JobsPartition& loaded) {
  notify_open_jobs(loaded);
  for (const auto& [number, partition] : jobs_) {
    if (partition.followed && !partition.replica->health().loaded) return;
  }
  if (loaded_listener_) loaded_listener_();
}

void JobStore::notify_open_jobs(const JobsPartition& partition) {
  if (!partition.reported || !listener_) return;
  for (const auto& [key, job] : partition.table->jobs()) {
    if (job.open()) listener_(key, job);
  }
}

const JobEntry* JobStore::find_entry(const JobKey& key) const {
  for (const auto& [number, partition] : jobs_) {
    const JobEntry* entry = partition.table->find(key);
    if (entry != nullptr) return entry;
  }
  return nullptr;
}

std::string JobStore::item_id(const JobKey& key, std::uint32_t item) const {
  const JobEntry* entry = find_entry(key);
  const bool is_known = entry != nullptr && item < entry->submission.items.size();
  return is_known ? entry->submission.items[item].id : std::string();
}

PartitionName JobStore::partition_of(JobData data, const JobKey& key) const {
  const JobEntry* entry = find_entry(key);
  const std::uint32_t topics =
      entry != nullptr ? entry->submission.data_topics : log_.limits().job_topics;
  return data_.partition_of(data, key, topics);
}

const ItemProgress* JobStore::progress_of(const JobKey& key, std::uint32_t item) {
  const JobProgress& progress = progress_[key];
  const auto found = progress.find(item);
  return found == progress.end() ? nullptr : &found->second;
}

void JobStore::follow_host(const std::string& host) {
  JobsPartition& partition = partition_for_host(host);
  if (partition.followed) return;
  partition.followed = true;
  report_jobs(partition);
  asio::co_spawn(executor_, follow_partition(partition), asio::detached);
}

void JobStore::report_jobs(JobsPartition& partition) {
  const bool is_first_call = !std::exchange(partition.reported, true);
  // A caller's read may have loaded the partition already; the replica does not report it again.
  if (is_first_call && partition.replica->health().loaded) notify_open_jobs(partition);
}

bool JobStore::is_followed(std::uint32_t partition) const {
  const auto found = jobs_.find(partition);
  return found != jobs_.end() && found->second.followed;
}

asio::awaitable<LogStatus> JobStore::read_unfollowed(std::uint32_t partition) {
  JobsPartition& read = partition_at(partition);
  report_jobs(read);
  co_return co_await read.replica->catch_up();
}

JobsInPartition JobStore::jobs_in(std::uint32_t partition) const {
  const auto found = jobs_.find(partition);
  if (found == jobs_.end() || found->second.table->jobs().empty()) return JobsInPartition::kNone;
  const auto& jobs = found->second.table->jobs();
  const bool any_open =
      std::any_of(jobs.begin(), jobs.end(), [](const auto& entry) { return entry.second.open(); });
  return any_open ? JobsInPartition::kOpen : JobsInPartition::kFinished;
}

void JobStore::set_running_jobs(bool running) {
  running_jobs_ = running;
  for (auto& [number, partition] : jobs_) {
    if (running && partition.idle_timer) partition.idle_timer->cancel();
  }
}

/// Follows the partition closely only while this node runs jobs. In a large fleet few nodes do; if
/// all of them followed it, they would make most of the calls to the log.
asio::awaitable<void> JobStore::follow_partition(JobsPartition& partition) {
  partition.idle_timer = std::make_unique<Timer>(executor_);
  const std::function<bool()> running = [this] { return running_jobs_; };
  while (true) {
    co_await partition.replica->follow(running, kFollowInterval);
    partition.idle_timer->expires_after(kIdlePollInterval);
    co_await partition.idle_timer->async_wait(asio::as_tuple(asio::use_awaitable));
    if (!running_jobs_) co_await partition.replica->catch_up();
  }
}

const ListedResults& JobStore::results_of(const JobKey& key) {
  return results_[key];
}

void JobStore::for_each_job(
    const std::function<void(const JobKey&, const JobEntry&)>& visit) const {
  for (const auto& [number, partition] : jobs_) {
    if (!partition.reported || !partition.replica->health().loaded) continue;
    for (const auto& [key, job] : partition.table->jobs()) visit(key, job);
  }
}

bool JobStore::fits_token_quota(const JobTable& table, const NewJob& job) {
  if (job.max_queued_tokens == 0) return true;
  const std::uint64_t queued = table.queued_tokens(job.submission.route, job.submission.tenant);
  return queued + job.submission.tokens() <= job.max_queued_tokens;
}

asio::awaitable<SubmitStatus> JobStore::append_submission(JobsPartition& partition, JobKey key,
                                                          NewJob& job, TimePoint deadline) {
  const std::vector<KeyedRecord> records{
      {jobs_record_key(JobRecordKind::kSubmitted, key), encode(job.submission)}};
  if (records.front().value.size() + kRecordFramingBytes > log_.limits().record_bytes) {
    co_return SubmitStatus::kInvalid;
  }
  const auto replica = partition.replica;
  Backoff backoff(timing_.retries);
  bool uncertain = false;  // An append without an answer may still be applied.
  while (true) {
    if (partition.table->find(key) != nullptr) co_return SubmitStatus::kAccepted;
    if (!uncertain && !fits_token_quota(*partition.table, job)) co_return SubmitStatus::kQuota;
    const RecordOffset expected = replica->next_offset();
    const AppendResult result =
        co_await log_.append(replica->name(), records, std::optional(expected));
    if (result.status == LogStatus::kRejected) co_return SubmitStatus::kInvalid;
    if (result.status == LogStatus::kOk) {
      replica->apply_appended(result.offset, records);
      co_return SubmitStatus::kAccepted;
    }
    uncertain = uncertain || result.status == LogStatus::kUnknown;
    // A further read is needed only for another append, or to learn the outcome of this one.
    if (!uncertain && monotonic_now() >= deadline) break;
    if (result.status != LogStatus::kConflict) co_await sleep_for(backoff.next());
    const LogStatus read = co_await replica->catch_up();
    if (read != LogStatus::kOk) co_await sleep_for(backoff.next());
    // Once the partition extends past the expected end, the condition of a delayed append can no
    // longer hold, so its outcome is known.
    if (read == LogStatus::kOk && replica->next_offset() > expected) uncertain = false;
    if (monotonic_now() >= deadline) break;
  }
  if (partition.table->find(key) != nullptr) co_return SubmitStatus::kAccepted;
  co_return uncertain ? SubmitStatus::kUncertain : SubmitStatus::kRefused;
}

asio::awaitable<SubmitStatus> JobStore::submit(NewJob job) {
  const JobKey key = make_job_key(job.submission.host, job.submission.id);
  const TimePoint deadline = monotonic_now() + timing_.operation_timeout;
  JobsPartition& partition = partition_for_host(job.submission.host);
  if (partition.table->find(key) != nullptr) co_return SubmitStatus::kAccepted;
  const auto replica = partition.replica;
  const LogStatus read = co_await replica->catch_up();
  if (partition.table->find(key) != nullptr) co_return SubmitStatus::kAccepted;
  if (read != LogStatus::kOk) co_return SubmitStatus::kRefused;
  if (!fits_token_quota(*partition.table, job)) co_return SubmitStatus::kQuota;
  job.submission.data_topics = log_.limits().job_topics;
  job.submission.request_writer = unique_name();
  job.submission.split_results = true;
  const SubmitStatus status = co_await append_job(partition, key, job, deadline);
  const JobEntry* entry = partition.table->find(key);
  const bool from_this_try =
      entry != nullptr && entry->submission.request_writer == job.submission.request_writer;
  if (status != SubmitStatus::kUncertain && !from_this_try) {
    asio::co_spawn(executor_, delete_refused_requests(key, std::move(job.submission)),
                   asio::detached);
  }
  co_return status;
}

asio::awaitable<SubmitStatus> JobStore::append_job(JobsPartition& partition, JobKey key,
                                                   NewJob& job, TimePoint deadline) {
  const LogStatus requests_status =
      co_await data_.append_requests(key, job.submission, job.requests, deadline);
  if (requests_status == LogStatus::kRejected) co_return SubmitStatus::kInvalid;
  if (requests_status != LogStatus::kOk) co_return SubmitStatus::kRefused;
  co_return co_await append_submission(partition, key, job, deadline);
}

asio::awaitable<void> JobStore::delete_refused_requests(JobKey key, JobSubmission submission) {
  const TimePoint deadline = monotonic_now() + timing_.operation_timeout;
  co_await data_.delete_requests(key, std::move(submission), deadline);
}

asio::awaitable<LookupStatus> JobStore::find(std::string host, JobKey key, const JobEntry*& job) {
  JobsPartition& partition = partition_for_host(host);
  job = partition.table->find(key);
  if (job != nullptr) co_return LookupStatus::kFound;
  const auto replica = partition.replica;
  const LogStatus status = co_await replica->catch_up();
  job = partition.table->find(key);
  if (job != nullptr) co_return LookupStatus::kFound;
  co_return status == LogStatus::kOk ? LookupStatus::kAbsent : LookupStatus::kUncertain;
}

JobsPosition JobStore::jobs_position(const std::string& host) const {
  const auto found = jobs_.find(jobs_partition(host, log_.limits().partitions));
  if (found == jobs_.end() || !found->second.replica) return {};
  const PartitionReplica& replica = *found->second.replica;
  return {.read_to = replica.next_offset(), .end = replica.health().end};
}

asio::awaitable<LogStatus> JobStore::mark(std::string host, JobRecordKind kind, JobKey key,
                                          std::string value) {
  JobsPartition& partition = partition_for_host(host);
  const auto replica = partition.replica;
  const std::vector<KeyedRecord> records{{jobs_record_key(kind, key), std::move(value)}};
  const TimePoint deadline = monotonic_now() + timing_.operation_timeout;
  const AppendResult result = co_await append_with_retry(executor_, log_, replica->name(), records,
                                                         deadline, timing_.retries);
  if (result.status == LogStatus::kOk) replica->apply_appended(result.offset, records);
  co_return result.status;
}

asio::awaitable<LogStatus> JobStore::cancel(std::string host, JobKey key) {
  co_return co_await mark(host, JobRecordKind::kCancelled, key, "1");
}

asio::awaitable<RequestsRead> JobStore::read_requests(JobKey key, std::vector<std::uint32_t> wanted,
                                                      AdaptiveReadLimits bounds) {
  RequestsRead nothing;
  const JobEntry* entry = find_entry(key);
  if (entry == nullptr) co_return nothing;
  const JobSubmission submission = entry->submission;
  co_return co_await data_.read_requests(key, submission, std::move(wanted), bounds);
}

asio::awaitable<LookupStatus> JobStore::read_request(JobKey key, std::uint32_t index,
                                                     ItemRequest& request) {
  const AdaptiveReadLimits bounds;
  const std::vector<std::uint32_t> wanted{index};
  RequestsRead read = co_await read_requests(key, wanted, bounds);
  if (read.status != LogStatus::kOk) co_return LookupStatus::kUncertain;
  if (read.found.empty()) co_return LookupStatus::kAbsent;
  request = std::move(read.found.begin()->second);
  co_return LookupStatus::kFound;
}

asio::awaitable<LogStatus> JobStore::refresh_progress(JobKey key, AdaptiveReadLimits bounds) {
  const PartitionName partition = partition_of(JobData::kProgress, key);
  const KeyRange range = progress_key_range(key);
  const ReadResult read = co_await log_.read_newest(partition, range, bounds.page_timeout);
  if (read.status == LogStatus::kOk) add_progress(read.records, progress_[key]);
  co_return read.status;
}

asio::awaitable<LogStatus> JobStore::append_records(PartitionName partition,
                                                    std::vector<KeyedRecord> records) {
  const AppendResult result = co_await log_.append(partition, std::move(records), std::nullopt);
  co_return result.status;
}

asio::awaitable<void> JobStore::delete_requests(JobKey key) {
  const JobEntry* entry = find_entry(key);
  if (entry == nullptr) co_return;
  const TimePoint deadline = monotonic_now() + timing_.operation_timeout;
  co_await delete_run_data(key, entry->submission, deadline);
}

asio::awaitable<LogStatus> JobStore::delete_run_data(JobKey key, JobSubmission submission,
                                                     TimePoint deadline) {
  const LogStatus status = co_await data_.delete_requests(key, submission, deadline);
  if (status != LogStatus::kOk) co_return status;
  co_return co_await data_.delete_progress(key, std::move(submission), deadline);
}

asio::awaitable<void> JobStore::erase(std::string host, JobKey key) {
  const JobEntry* entry = find_entry(key);
  if (entry == nullptr) co_return;
  const JobSubmission submission = entry->submission;
  const TimePoint deadline = monotonic_now() + timing_.operation_timeout;
  LogStatus status = co_await delete_run_data(key, submission, deadline);
  if (status != LogStatus::kOk) co_return;
  status = co_await data_.delete_results(key, submission.data_topics, deadline);
  if (status != LogStatus::kOk) co_return;
  const auto replica = partition_for_host(host).replica;
  std::vector<KeyedRecord> marks;
  for (const auto kind : {JobRecordKind::kCancelled, JobRecordKind::kFinished,
                          JobRecordKind::kProgress, JobRecordKind::kSubmitted}) {
    marks.push_back({jobs_record_key(kind, key), {}});
  }
  co_await append_with_retry(executor_, log_, replica->name(), std::move(marks), deadline,
                             timing_.retries);
}

}  // namespace stoathold
