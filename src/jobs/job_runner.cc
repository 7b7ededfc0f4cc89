#include "jobs/job_runner.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/timer.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Items that one node runs at the same time, or has wait for a place: more than a whole job has,
/// so that a large job waits for places at runners and not for its own items.
constexpr std::size_t kMaxRunningItems = 256;
/// While so many items wait to be run with their requests, or requests of so many bytes are held,
/// no more are read. A quarter of the items that may run keeps each turn that comes free in use; an
/// item may have 690 kB, and machines as little as 160 MB, of which this is a fifth.
constexpr std::size_t kMaxWaitingItems = 64;
constexpr std::uint64_t kMaxRequestBytes = 32UL * 1024 * 1024;
/// Between rounds of upkeep: progress counts and deletion of old jobs.
constexpr Duration kUpkeepInterval = std::chrono::milliseconds(700);
/// Rounds of upkeep between two records of how far running items came.
constexpr int kCheckpointRounds = 3;
/// Bytes of a checkpoint record that are not its text.
constexpr std::uint64_t kRecordOverhead = 600;
/// A process that has just started lets few items run at first, so that online requests, which also
/// come back all at once, find places; the number rises to the full one in this time.
constexpr Duration kSlowStart = std::chrono::seconds(4);
constexpr std::size_t kFirstItems = 6;

/// Which run gives its slot back: the greatest. One that will be late anyway loses least, then the
/// one with the most time, then the newest.
struct YieldOrder {
  bool late = false;
  Duration slack{0};
  TimePoint placed_at{};

  auto operator<=>(const YieldOrder&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace

JobRunner::JobRunner(GatewayContext& context, JobStore& store, RecordLog& log,
                     JobRunnerSettings settings)
    : context_(context),
      store_(store),
      settings_(std::move(settings)),
      writer_(context.executor, store,
              [this](const ItemResult& result) { result_durable(result); }),
      loader_(context.executor, store, [this] { return has_room_for_requests(); }),
      membership_(
          context.executor, log, settings_.member_name,
          SlotHandlers{
              [this](const std::set<std::uint32_t>&) {
                context_.start_progress.reached(StartStep::kFirstSlotsHeld, monotonic_now());
                store_.set_running_jobs(true);
                store_.for_each_job(
                    [this](const JobKey& key, const JobEntry& job) { job_changed(key, job); });
              },
              [this](std::set<std::uint32_t> slots) { return give_up_slots(std::move(slots)); },
              [this](const std::vector<std::string>& names) {
                if (members_listener_) members_listener_(names);
              }}),
      stage_log_(context.executor, stages_,
                 [this](const JobKey& key, std::uint32_t index) { return item_id(key, index); }) {
  store_.set_running_jobs(false);
  store_.set_listener([this](const JobKey& key, const JobEntry& job) { job_changed(key, job); });
}

void JobRunner::start() {
  started_ = monotonic_now();
  asio::co_spawn(context_.executor, membership_.run(), asio::detached);
  asio::co_spawn(context_.executor, maintain(), asio::detached);
  asio::co_spawn(context_.executor, stage_log_.run([this] { return !stopping_; }), asio::detached);
}

bool JobRunner::holds(const JobKey& key) const {
  return membership_.holds(job_slot(key, store_.limits().group_slots));
}

void JobRunner::job_changed(const JobKey& key, const JobEntry& job) {
  if (!job.open()) {
    const bool was_run_here = jobs_.contains(key);
    stop_job(key, false);
    if (was_run_here) {
      asio::co_spawn(context_.executor, store_.delete_requests(key), asio::detached);
    }
  } else if (holds(key) && !stopping_) {
    start_job(key, job);
  }
}

void JobRunner::start_job(const JobKey& key, const JobEntry& entry) {
  if (jobs_.contains(key)) return;
  auto job = std::make_shared<ActiveJob>();
  job->host = entry.submission.host;
  job->path = entry.submission.path;
  job->tenant = entry.submission.tenant;
  job->submitted_ms = entry.submission.submitted_ms;
  job->items = entry.submission.items;
  jobs_.emplace(key, job);
  stages_.add_job(key, job->items.size(), monotonic_now());
  log_event(Event::kJobStarted, {{"job", key}, {"items", std::to_string(job->items.size())}});
  loader_.add(
      {.key = key,
       .submitted_ms = job->submitted_ms,
       .wanted = [job] { return !job->stopped; },
       .loaded = [this, key, job] { return job_loaded(key, job); },
       .request_read =
           [this, key, job](std::uint32_t index, ItemRequest request) {
             request_read(key, *job, index, std::move(request));
           },
       .request_absent =
           [key, job](std::uint32_t index) {
             log_event(Event::kItemUnreadable, {{"job", key}, {"item", job->items[index].id}});
           }});
}

std::vector<std::uint32_t> JobRunner::job_loaded(const JobKey& key,
                                                 const std::shared_ptr<ActiveJob>& job) {
  const ListedResults& results = store_.results_of(key);
  log_event(Event::kJobLoaded, {{"job", key},
                                {"listed", std::to_string(results.listed().size())},
                                {"waiting", std::to_string(waiting_.size())},
                                {"running", std::to_string(running_items_)}});
  stages_.job_read(key);
  for (std::uint32_t index = 0; index < job->items.size(); ++index) {
    if (results.is_listed(index)) {
      job->finished_tokens += job->items[index].tokens;
    } else {
      job->unlisted.insert(index);
      enter_stage(key, *job, index, ItemStage::kReadingRequest);
    }
  }
  if (job->unlisted.empty()) {
    asio::co_spawn(context_.executor, finish_job(key, job), asio::detached);
  }
  return {job->unlisted.begin(), job->unlisted.end()};
}

void JobRunner::request_read(const JobKey& key, ActiveJob& job, std::uint32_t index,
                             ItemRequest request) {
  held_request_bytes_ += job.items[index].body_bytes;
  job.requests[index] = std::move(request);
  enter_stage(key, job, index, ItemStage::kWaitingForTurn);
  waiting_.insert({job.submitted_ms, key, index});
  start_waiting();
}

std::size_t JobRunner::item_limit() const {
  const Duration age = monotonic_now() - started_;
  if (age >= kSlowStart) return kMaxRunningItems;
  const double part = to_seconds(age) / to_seconds(kSlowStart);
  return kFirstItems + static_cast<std::size_t>(part * (kMaxRunningItems - kFirstItems));
}

bool JobRunner::yield_place(const YieldRequest& request) {
  std::shared_ptr<ItemRun> chosen;
  YieldOrder best;
  for (const auto& [key, job] : jobs_) {
    for (const auto& [index, run] : job->runs) {
      const auto& runner = run->runner();
      if (!runner || run->yielding()) continue;
      const RunnerRecord& record = runner->record();
      if (record.service != request.service || record.zone != request.zone) continue;
      if (request.runner != 0 && request.runner != runner->hash()) continue;
      const ItemSchedule schedule = run->schedule();
      const YieldOrder order{schedule.late(), schedule.slack(), run->placed_at()};
      if (chosen && order <= best) continue;
      chosen = run;
      best = order;
    }
  }
  if (chosen) chosen->yield();
  return chosen != nullptr;
}

bool JobRunner::has_room_for_requests() const {
  return waiting_.size() < kMaxWaitingItems && held_request_bytes_ < kMaxRequestBytes;
}

void JobRunner::start_waiting() {
  while (!waiting_.empty() && running_items_ < item_limit()) {
    const WaitingItem item = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    const auto job = jobs_.find(item.job);
    if (job == jobs_.end()) continue;
    auto request = job->second->requests.extract(item.index);
    if (request.empty()) continue;
    ++running_items_;
    asio::co_spawn(context_.executor, run_item(item, job->second, std::move(request.mapped())),
                   asio::detached);
  }
  loader_.resume();
}

asio::awaitable<void> JobRunner::run_item(WaitingItem item, std::shared_ptr<ActiveJob> job,
                                          ItemRequest request) {
  const JobItem& listed = job->items[item.index];
  if (!job->stopped) {
    ItemProgress progress;
    const ItemProgress* known = store_.progress_of(item.job, item.index);
    if (known != nullptr) progress = *known;
    ItemContext context{item.job,  item.index,  listed.id,        job->host,
                        job->path, job->tenant, job->submitted_ms};
    const auto run = std::make_shared<ItemRun>(context_, std::move(context), std::move(request),
                                               std::move(progress), settings_.clock_skew);
    job->runs[item.index] = run;
    run->set_stage_listener(
        [this, item, job](ItemStage stage) { enter_stage(item.job, *job, item.index, stage); });
    std::optional<ItemResult> result = co_await run->run();
    job->runs.erase(item.index);
    if (result) {
      log_event(Event::kItemDone,
                {{"job", item.job},
                 {"item", listed.id},
                 {"state", result->state == ItemState::kCompleted ? "completed" : "dead_lettered"},
                 {"failures", std::to_string(run->progress().failures)}});
      enter_stage(item.job, *job, item.index, ItemStage::kWritingResult);
      writer_.add(std::move(*result));
    }
  }
  --running_items_;
  held_request_bytes_ -= listed.body_bytes;
  start_waiting();
}

void JobRunner::result_durable(const ItemResult& result) {
  stages_.leave(result.job, result.item);
  const auto found = jobs_.find(result.job);
  if (found == jobs_.end()) return;
  const auto job = found->second;
  // A run that was stopped and begun again may have two results; the item counts once.
  if (job->unlisted.erase(result.item) == 0) return;
  log_event(Event::kItemListed, {{"job", result.job},
                                 {"item", job->items[result.item].id},
                                 {"left", std::to_string(job->unlisted.size())}});
  job->finished_tokens += job->items[result.item].tokens;
  counts_changed_.insert(result.job);
  if (job->unlisted.empty()) {
    asio::co_spawn(context_.executor, finish_job(result.job, job), asio::detached);
  }
}

/// Each item has a durable result now, of this node or read from the log. Reading the mark back
/// stops the job.
asio::awaitable<void> JobRunner::finish_job(JobKey key, std::shared_ptr<ActiveJob> job) {
  Timer timer(context_.executor);
  Backoff backoff;
  while (!job->stopped) {
    const LogStatus status = co_await store_.mark(job->host, JobRecordKind::kFinished, key, "1");
    if (status == LogStatus::kOk) {
      log_event(Event::kJobFinished, {{"job", key}});
      co_return;
    }
    timer.expires_after(backoff.next());
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void JobRunner::stop_job(const JobKey& key, bool keep_progress) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) return;
  const auto job = found->second;
  jobs_.erase(found);
  job->stopped = true;
  stages_.forget(key);
  std::erase_if(waiting_, [&](const WaitingItem& item) { return item.job == key; });
  for (const auto& [index, request] : job->requests) {
    held_request_bytes_ -= job->items[index].body_bytes;
  }
  job->requests.clear();
  for (const auto& [index, run] : job->runs) {
    if (keep_progress) add_checkpoint(*run);
    run->stop();
  }
  checkpointed_.forget(key);
  counts_changed_.erase(key);
}

asio::awaitable<void> JobRunner::give_up_slots(std::set<std::uint32_t> slots) {
  std::vector<JobKey> keys;
  for (const auto& [key, job] : jobs_) {
    if (slots.contains(job_slot(key, store_.limits().group_slots))) keys.push_back(key);
  }
  for (const auto& key : keys) stop_job(key, true);
  store_.set_running_jobs(!membership_.slots().empty());
  co_await write_checkpoints();
}

asio::awaitable<void> JobRunner::maintain() {
  Timer timer(context_.executor);
  int round = 0;
  while (!stopping_) {
    timer.expires_after(kUpkeepInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_await write_progress_counts();
    if (++round % kCheckpointRounds == 0) {
      collect_checkpoints();
      co_await write_checkpoints();
    }
    start_waiting();
    store_.forget_erased();
    co_await erase_expired();
  }
}

void JobRunner::enter_stage(const JobKey& key, const ActiveJob& job, std::uint32_t index,
                            ItemStage stage) {
  if (job.stopped || !job.unlisted.contains(index)) return;
  stages_.enter(key, index, stage, monotonic_now());
}

std::string JobRunner::item_id(const JobKey& key, std::uint32_t index) const {
  const auto job = jobs_.find(key);
  return job == jobs_.end() ? std::string() : job->second->items[index].id;
}

void JobRunner::add_checkpoint(const ItemRun& run) {
  if (!run.has_progress()) return;
  const ItemProgress& progress = run.progress();
  const ItemProgress* read = store_.progress_of(progress.job, progress.item);
  if (!checkpointed_.is_news(progress, read)) return;
  const PartitionName partition = store_.partition_of(JobData::kProgress, progress.job);
  checkpoints_[partition].push_back(progress);
}

void JobRunner::collect_checkpoints() {
  for (const auto& [key, job] : jobs_) {
    for (const auto& [index, run] : job->runs) add_checkpoint(*run);
  }
}

asio::awaitable<void> JobRunner::write_checkpoints() {
  const auto batches = std::exchange(checkpoints_, {});
  for (const auto& [partition, entries] : batches) {
    std::vector<KeyedRecord> records;
    std::vector<const ItemProgress*> included;
    std::uint64_t bytes = 0;
    for (const auto& entry : entries) {
      const std::uint64_t size = entry.text.size() + kRecordOverhead;
      const bool fits =
          size <= store_.limits().record_bytes && bytes + size <= store_.limits().call_bytes;
      // What does not fit is only read again if this node is lost.
      if (!fits) continue;
      bytes += size;
      records.push_back({progress_record_key(entry.job, entry.item), encode(entry)});
      included.push_back(&entry);
    }
    if (records.empty()) continue;
    const LogStatus status = co_await store_.append_records(partition, std::move(records));
    // Without an answer it may be durable or not; then it is written again in the next round.
    if (status != LogStatus::kOk) continue;
    for (const ItemProgress* entry : included) {
      if (jobs_.contains(entry->job)) checkpointed_.written(*entry);
    }
  }
}

asio::awaitable<void> JobRunner::write_progress_counts() {
  const std::set<JobKey> changed = std::exchange(counts_changed_, {});
  for (const JobKey& key : changed) {
    const auto found = jobs_.find(key);
    if (found == jobs_.end()) continue;
    const auto job = found->second;
    const auto configuration = context_.configuration;
    const Route* route = configuration ? configuration->find_route(job->host, job->path) : nullptr;
    // Only the limit on queued tokens needs the count.
    if (route == nullptr || route->max_queued_tokens == 0) continue;
    const LogStatus status = co_await store_.mark(job->host, JobRecordKind::kProgress, key,
                                                  encode_tokens(job->finished_tokens));
    if (status != LogStatus::kOk) counts_changed_.insert(key);
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

asio::awaitable<void> JobRunner::stop() {
  stopping_ = true;
  co_await membership_.leave();
}

}  // namespace stoathold
