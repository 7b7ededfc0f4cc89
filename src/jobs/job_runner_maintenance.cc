/// @file
/// Periodic maintenance of a job runner: progress counts, checkpoints of running items, deletion of
/// expired jobs.
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/timer.h"
#include "jobs/job_runner.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Interval between maintenance rounds, which write progress counts and delete expired jobs.
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(700);
/// Number of maintenance rounds between two checkpoints of running items.
constexpr int kRoundsPerCheckpoint = 3;
/// Upper estimate of the bytes of a checkpoint record without its text.
constexpr std::uint64_t kRecordOverheadBytes = 600;

std::uint64_t checkpoint_bytes(const ItemProgress& progress) {
  return progress.text.size() + kRecordOverheadBytes;
}

}  // namespace

asio::awaitable<void> JobRunner::maintain() {
  Timer timer(context_.executor);
  int round = 0;
  while (!stopping_) {
    timer.expires_after(kMaintenanceInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_await write_progress_counts();
    if (++round % kRoundsPerCheckpoint == 0) {
      queue_checkpoints();
      co_await write_checkpoints();
    }
    start_waiting_items();
    store_.drop_erased_jobs();
    co_await erase_expired();
  }
}

/// A checkpoint that does not fit is skipped: the item restarts further back if this node fails.
void JobRunner::queue_checkpoint(const ItemRun& run) {
  if (!run.has_progress()) return;
  const ItemProgress& progress = run.progress();
  if (checkpoint_bytes(progress) > store_.limits().record_bytes) return;
  const ItemProgress* read = store_.progress_of(progress.job, progress.item);
  if (!durable_checkpoints_.is_newer_than_durable(progress, read)) return;
  const PartitionName partition = store_.partition_of(JobData::kProgress, progress.job);
  pending_checkpoints_[partition].push_back(progress);
}

void JobRunner::queue_checkpoints() {
  for (const auto& [key, job] : jobs_) {
    for (const auto& [index, run] : job->runs) queue_checkpoint(*run);
  }
}

asio::awaitable<void> JobRunner::write_checkpoints() {
  const auto batches = std::exchange(pending_checkpoints_, {});
  for (const auto& [partition, entries] : batches) {
    std::vector<KeyedRecord> records;
    std::vector<const ItemProgress*> included;
    std::uint64_t bytes = 0;
    for (const auto& entry : entries) {
      const std::uint64_t size = checkpoint_bytes(entry);
      const bool fits = bytes + size <= store_.limits().call_bytes;
      if (!fits) continue;
      bytes += size;
      records.push_back({progress_record_key(entry.job, entry.item), encode(entry)});
      included.push_back(&entry);
    }
    if (records.empty()) continue;
    const LogStatus status = co_await store_.append_records(partition, std::move(records));
    // Without an answer the append may or may not be durable; the next round writes it again.
    if (status != LogStatus::kOk) continue;
    for (const ItemProgress* entry : included) {
      if (jobs_.contains(entry->job)) durable_checkpoints_.mark_durable(*entry);
    }
  }
}

asio::awaitable<void> JobRunner::write_progress_counts() {
  const std::set<JobKey> changed = std::exchange(jobs_with_changed_counts_, {});
  for (const JobKey& key : changed) {
    const auto found = jobs_.find(key);
    if (found == jobs_.end()) continue;
    const auto job = found->second;
    const auto configuration = context_.configuration;
    const Route* route = configuration ? configuration->find_route(job->host, job->path) : nullptr;
    // The count is only used to enforce the limit on queued tokens.
    if (route == nullptr || route->max_queued_tokens == 0) continue;
    const LogStatus status = co_await store_.mark(job->host, JobRecordKind::kProgress, key,
                                                  encode_tokens(job->finished_tokens));
    if (status != LogStatus::kOk) jobs_with_changed_counts_.insert(key);
  }
}

asio::awaitable<void> JobRunner::erase_expired() {
  const std::int64_t now = wall_clock_ms();
  const Duration lifetime = settings_.status_lifetime + 2 * settings_.clock_skew;
  std::vector<std::pair<std::string, JobKey>> expired;
  store_.for_each_job([&](const JobKey& key, const JobEntry& job) {
    const Duration age = std::chrono::milliseconds(now - job.submission.submitted_ms);
    if (job.open() || !holds(key) || age < lifetime) return;
    expired.emplace_back(job.submission.host, key);
  });
  for (const auto& [host, key] : expired) co_await store_.erase(host, key);
}

}  // namespace stoathold
