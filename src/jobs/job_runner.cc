#include "jobs/job_runner.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/timer.h"
#include "jobs/item_retention.h"
#include "store/backoff.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Maximum number of items of one job that run or wait for a runner's slot while the node has no
/// other job. It exceeds the size of a job, so that a large job is limited by runner slots and not
/// by this limit. All jobs together may have 1.5 times as many.
constexpr std::size_t kMaxItemsPerJob = 256;
/// Maximum total bytes of the requests that all jobs hold in memory. A request may have 690 kB, and
/// machines have as little as 160 MB, of which this is a fifth.
constexpr double kMaxRequestBytes = 32.0 * 1024 * 1024;
/// After a start, the number of concurrent items rises linearly from `kSlowStartInitialItems` to
/// the maximum during this time. Online requests also return all at once after a restart and need
/// free slots.
constexpr Duration kSlowStartDuration = std::chrono::seconds(4);
constexpr std::size_t kSlowStartInitialItems = 6;

/// Preemption order: the run with the greatest value yields its slot. A run that is late anyway
/// loses least, then the one with the most slack, then the one placed last.
struct YieldPriority {
  bool late = false;
  Duration slack{0};
  TimePoint placed_at{};

  auto operator<=>(const YieldPriority&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace

JobRunner::JobRunner(GatewayContext& context, JobStore& store, RecordLog& log,
                     JobRunnerSettings settings)
    : context_(context),
      store_(store),
      settings_(std::move(settings)),
      writer_(context.executor, store,
              [this](const ItemResult& result) { on_result_durable(result); }),
      loader_(context.executor, store,
              [this](const JobKey& key) { return can_read_requests(key); }),
      membership_(
          context.executor, log, settings_.member_name,
          SlotHandlers{
              [this](const std::set<std::uint32_t>&) {
                context_.startup.mark_reached(StartupStep::kFirstSlotsHeld, monotonic_now());
                store_.set_running_jobs(true);
                store_.for_each_job(
                    [this](const JobKey& key, const JobEntry& job) { on_job_changed(key, job); });
              },
              [this](std::set<std::uint32_t> slots) { return release_slots(std::move(slots)); },
              [this](const std::vector<std::string>& names) {
                if (members_listener_) members_listener_(names);
              }}),
      discovery_(context.executor, store, [this] { return held_share(); }),
      stage_log_(context.executor, stages_,
                 [this](const JobKey& key, std::uint32_t index) { return item_id(key, index); }),
      running_budget_(SharedBudget::size_for_one_job(kSlowStartInitialItems)),
      waiting_budget_(SharedBudget::size_for_one_job(kMaxItemsPerJob)),
      request_byte_budget_(kMaxRequestBytes),
      held_requests_(*context.memory) {
  writer_.charge_to(*context.memory);
  writer_.set_rejection_handler([this](ItemResult& result) { return on_result_rejected(result); });
  store_.charge_to(*context.memory);
  store_.set_running_jobs(false);
  store_.set_listener([this](const JobKey& key, const JobEntry& job) { on_job_changed(key, job); });
}

void JobRunner::start() {
  started_ = monotonic_now();
  asio::co_spawn(context_.executor, membership_.run(), asio::detached);
  asio::co_spawn(context_.executor, maintain(), asio::detached);
  asio::co_spawn(context_.executor, discovery_.run([this] { return !stopping_; }), asio::detached);
  asio::co_spawn(context_.executor, stage_log_.run([this] { return !stopping_; }), asio::detached);
}

bool JobRunner::holds(const JobKey& key) const {
  return membership_.holds(job_slot(key, store_.limits().group_slots));
}

/// Before a configuration is known, the node cannot tell which partitions it will follow.
double JobRunner::held_share() const {
  if (!context_.configuration) return 0;
  return static_cast<double>(membership_.slots().size()) / store_.limits().group_slots;
}

void JobRunner::on_job_changed(const JobKey& key, const JobEntry& job) {
  if (!job.open()) {
    const bool ran_on_this_node = jobs_.contains(key);
    stop_job(key, false);
    if (ran_on_this_node) {
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
       .still_needed = [job] { return !job->stopped; },
       .on_loaded = [this, key, job] { return on_job_loaded(key, job); },
       .on_request =
           [this, key, job](std::uint32_t index, ItemRequest request) {
             on_request_read(key, *job, index, std::move(request));
           },
       .on_request_missing =
           [this, key, job](std::uint32_t index) { return on_request_missing(key, *job, index); }});
}

std::vector<std::uint32_t> JobRunner::on_job_loaded(const JobKey& key,
                                                    const std::shared_ptr<ActiveJob>& job) {
  job->budget_owner = budget_owner_of(key, *job);
  const ListedResults& results = store_.results_of(key);
  log_event(Event::kJobLoaded, {{"job", key},
                                {"listed", std::to_string(results.listed().size())},
                                {"waiting", std::to_string(waiting_.size())},
                                {"running", std::to_string(running_items_)}});
  stages_.mark_job_read(key);
  for (std::uint32_t index = 0; index < job->items.size(); ++index) {
    if (results.is_listed(index)) {
      job->finished_tokens += job->items[index].tokens;
    } else {
      job->unfinished_items.insert(index);
      enter_stage(key, *job, index, ItemStage::kReadingRequest);
    }
  }
  if (job->unfinished_items.empty()) {
    asio::co_spawn(context_.executor, finish_job(key, job), asio::detached);
  }
  return {job->unfinished_items.begin(), job->unfinished_items.end()};
}

void JobRunner::on_request_read(const JobKey& key, ActiveJob& job, std::uint32_t index,
                                ItemRequest request) {
  request_byte_budget_.acquire(job.budget_owner,
                               static_cast<double>(job.items[index].request_bytes));
  waiting_budget_.acquire(job.budget_owner, 1);
  held_requests_.add(request.memory_bytes());
  job.requests[index] = std::move(request);
  enter_stage(key, job, index, ItemStage::kWaitingForTurn);
  waiting_.insert({job.submitted_ms, key, index});
  start_waiting_items();
}

bool JobRunner::on_request_missing(const JobKey& key, const ActiveJob& job, std::uint32_t index) {
  const bool gives_up = has_expired(job);
  log_event(Event::kItemUnreadable, {{"job", key},
                                     {"item", job.items[index].id},
                                     {"action", gives_up ? "dead_lettered" : "read_again"}});
  if (!gives_up) return true;
  ItemResult result;
  result.job = key;
  result.item = index;
  result.state = ItemState::kDeadLettered;
  enter_stage(key, job, index, ItemStage::kWritingResult);
  writer_.add(std::move(result));
  return false;
}

bool JobRunner::has_expired(const ActiveJob& job) const {
  const auto configuration = context_.configuration;
  const Route* route = configuration ? configuration->find_route(job.host, job.path) : nullptr;
  return route != nullptr && is_past_retention(*route, job.submitted_ms, settings_.clock_skew);
}

std::size_t JobRunner::item_limit() const {
  const Duration age = monotonic_now() - started_;
  if (age >= kSlowStartDuration) return kMaxItemsPerJob;
  const double fraction = to_seconds(age) / to_seconds(kSlowStartDuration);
  return kSlowStartInitialItems +
         static_cast<std::size_t>(fraction * (kMaxItemsPerJob - kSlowStartInitialItems));
}

bool JobRunner::yield_slot(const YieldRequest& request) {
  std::shared_ptr<ItemRun> chosen;
  YieldPriority best;
  for (const auto& [key, job] : jobs_) {
    for (const auto& [index, run] : job->runs) {
      const auto& runner = run->runner();
      if (!runner || run->yielding()) continue;
      const RunnerRecord& record = runner->record();
      if (record.service != request.service || record.zone != request.zone) continue;
      if (request.runner != 0 && request.runner != runner->hash()) continue;
      const ItemSchedule schedule = run->schedule();
      const YieldPriority order{schedule.late(), schedule.slack(), run->placed_at()};
      if (chosen && order <= best) continue;
      chosen = run;
      best = order;
    }
  }
  if (chosen) chosen->yield();
  return chosen != nullptr;
}

/// Uses the first service of the job's route: it receives most of the traffic, and the other
/// services of a route hardly differ from it.
BudgetOwner JobRunner::budget_owner_of(const JobKey& key, const ActiveJob& job) const {
  const auto configuration = context_.configuration;
  const Route* route = configuration ? configuration->find_route(job.host, job.path) : nullptr;
  const bool has_service = route != nullptr && !route->services.empty();
  const std::string service = has_service ? route->services.front().service : std::string();
  return {stable_hash(service), stable_hash(service + '\n' + job.tenant), stable_hash(key)};
}

bool JobRunner::can_read_requests(const JobKey& key) const {
  const auto job = jobs_.find(key);
  if (job == jobs_.end()) return true;  // The loader drops a stopped job when it dequeues it.
  const BudgetOwner& budget_owner = job->second->budget_owner;
  return waiting_budget_.may_acquire(budget_owner) &&
         request_byte_budget_.may_acquire(budget_owner) && held_requests_.can_read_more();
}

bool JobRunner::start_next_item() {
  const auto next = std::find_if(waiting_.begin(), waiting_.end(), [this](const auto& item) {
    return running_budget_.may_acquire(jobs_.at(item.job)->budget_owner);
  });
  if (next == waiting_.end()) return false;
  const WaitingItem item = std::move(waiting_.extract(next).value());
  const auto job = jobs_.at(item.job);
  auto request = job->requests.extract(item.index);
  waiting_budget_.release(job->budget_owner, 1);
  running_budget_.acquire(job->budget_owner, 1);
  ++running_items_;
  asio::co_spawn(context_.executor, run_item(item, job, std::move(request.mapped())),
                 asio::detached);
  return true;
}

void JobRunner::start_waiting_items() {
  running_budget_.set_size(SharedBudget::size_for_one_job(static_cast<double>(item_limit())));
  while (start_next_item()) {
  }
  loader_.resume();
}

asio::awaitable<void> JobRunner::run_item(WaitingItem item, std::shared_ptr<ActiveJob> job,
                                          ItemRequest request) {
  const JobItem& job_item = job->items[item.index];
  const std::uint64_t held_bytes = request.memory_bytes();
  if (!job->stopped) {
    ItemProgress progress;
    const ItemProgress* known = store_.progress_of(item.job, item.index);
    if (known != nullptr) progress = *known;
    ItemContext context{item.job,  item.index,  job_item.id,      job->host,
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
                 {"item", job_item.id},
                 {"state", result->state == ItemState::kCompleted ? "completed" : "dead_lettered"},
                 {"failures", std::to_string(run->progress().failures)}});
      enter_stage(item.job, *job, item.index, ItemStage::kWritingResult);
      writer_.add(std::move(*result));
    }
  }
  --running_items_;
  running_budget_.release(job->budget_owner, 1);
  request_byte_budget_.release(job->budget_owner, static_cast<double>(job_item.request_bytes));
  held_requests_.remove(held_bytes);
  start_waiting_items();
}

void JobRunner::on_result_durable(const ItemResult& result) {
  stages_.remove_item(result.job, result.item);
  const auto found = jobs_.find(result.job);
  if (found == jobs_.end()) return;
  const auto job = found->second;
  // An item whose run was stopped and restarted may have two results; it is counted once.
  if (job->unfinished_items.erase(result.item) == 0) return;
  log_event(Event::kItemListed, {{"job", result.job},
                                 {"item", job->items[result.item].id},
                                 {"left", std::to_string(job->unfinished_items.size())}});
  job->finished_tokens += job->items[result.item].tokens;
  jobs_with_changed_counts_.insert(result.job);
  if (job->unfinished_items.empty()) {
    asio::co_spawn(context_.executor, finish_job(result.job, job), asio::detached);
  }
}

/// A result that is dropped is not lost: the next holder of the job's slot runs the item again.
RejectedResultAction JobRunner::on_result_rejected(ItemResult& result) {
  const auto found = jobs_.find(result.job);
  if (found == jobs_.end()) return RejectedResultAction::kDrop;
  if (has_expired(*found->second)) {
    result.state = ItemState::kDeadLettered;
    result.text.clear();
  }
  return RejectedResultAction::kRetry;
}

/// Called once each item has a durable result, written by this node or read from the log. Retries
/// until the finished mark is durable; applying the mark to the job table stops the job.
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
  stages_.remove_job(key);
  std::erase_if(waiting_, [&](const WaitingItem& item) { return item.job == key; });
  for (const auto& [index, request] : job->requests) {
    waiting_budget_.release(job->budget_owner, 1);
    request_byte_budget_.release(job->budget_owner,
                                 static_cast<double>(job->items[index].request_bytes));
    held_requests_.remove(request.memory_bytes());
  }
  job->requests.clear();
  for (const auto& [index, run] : job->runs) {
    if (keep_progress) queue_checkpoint(*run);
    run->stop();
  }
  durable_checkpoints_.remove_job(key);
  jobs_with_changed_counts_.erase(key);
}

asio::awaitable<void> JobRunner::release_slots(std::set<std::uint32_t> slots) {
  std::vector<JobKey> keys;
  for (const auto& [key, job] : jobs_) {
    if (slots.contains(job_slot(key, store_.limits().group_slots))) keys.push_back(key);
  }
  for (const auto& key : keys) stop_job(key, true);
  store_.set_running_jobs(!membership_.slots().empty());
  co_await write_checkpoints();
}

void JobRunner::enter_stage(const JobKey& key, const ActiveJob& job, std::uint32_t index,
                            ItemStage stage) {
  if (job.stopped || !job.unfinished_items.contains(index)) return;
  stages_.enter(key, index, stage, monotonic_now());
}

std::string JobRunner::item_id(const JobKey& key, std::uint32_t index) const {
  const auto job = jobs_.find(key);
  return job == jobs_.end() ? std::string() : job->second->items[index].id;
}

asio::awaitable<void> JobRunner::stop() {
  stopping_ = true;
  co_await membership_.leave();
}

}  // namespace stoathold
