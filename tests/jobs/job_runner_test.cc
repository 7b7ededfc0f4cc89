#include "jobs/job_runner.h"

#include <gtest/gtest.h>

#include <numeric>

#include "tests/gateway/scripted_runner.h"
#include "tests/jobs/append_results.h"
#include "tests/jobs/batch_jobs.h"
#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

constexpr const char* kHost = "drafts.example";
constexpr std::uint32_t kSlots = 16;

NewJob make_job(const std::string& id) {
  NewJob job;
  job.submission.id = id;
  job.submission.host = kHost;
  job.submission.path = "/drafts/";
  job.submission.route = "drafts";
  JobItem item;
  item.id = id + "-item";
  job.submission.items.push_back(item);
  job.requests.push_back(encode(ItemRequest{"/drafts/1", {}, {}}));
  return job;
}

/// A node that holds all slots, on a log with submitted jobs.
class JobRunnerTest : public testing::Test {
 protected:
  JobRunnerTest()
      : model(std::make_shared<emulator::LogModel>()),
        log(model, small_limits()),
        context(loop.get_executor(), HeaderDialect{}, "zone"),
        store(loop.get_executor(), log, "node", short_timeouts()),
        runner(context, store, log, JobRunnerSettings{"node", {}, {}}) {
    log.held_slots.resize(kSlots);
    std::iota(log.held_slots.begin(), log.held_slots.end(), 0);
  }

  /// Submits a job and writes the result of its only item.
  void submit_finished(const std::string& id) {
    EXPECT_EQ(run_awaitable(loop, store.submit(make_job(id))), SubmitStatus::kAccepted);
    const JobKey key = make_job_key(kHost, id);
    const auto make = [&] {
      const ItemResult result{key, 0, ItemState::kCompleted, "text"};
      return std::vector<KeyedRecord>{
          {result_record_key(key, 0, store.unique_name()), encode(result)}};
    };
    EXPECT_TRUE(run_awaitable(loop, append_results(store, key, make)));
  }
  [[nodiscard]] std::size_t finished_jobs() const {
    std::size_t finished = 0;
    store.for_each_job(
        [&](const JobKey&, const JobEntry& job) { finished += job.finished ? 1 : 0; });
    return finished;
  }

  boost::asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model;
  FaultyRecordLog log;
  GatewayContext context;
  JobStore store;
  JobRunner runner;
};

/// Guards against reading all jobs at once after a restart of the fleet. Each read returns up to
/// 1 MB; on a small machine (0.12 of a core, 30 Mbit/s) concurrent reads exceed their timeout of 1
/// s together and are retried together, so that jobs are read very late or never and do not run. On
/// one such machine 22 reads timed out and one job took 20.6 s to be read, compared with 0.4 to
/// 1.9 s on large machines. The log then shows:
///
///     job_load_retried  step=results  status=unknown
TEST_F(JobRunnerTest, JobsStartedTogetherAreReadWithLimitedConcurrency) {
  constexpr std::size_t kJobs = 12;
  for (std::size_t i = 0; i < kJobs; ++i) submit_finished("j" + std::to_string(i));
  log.newest_read_time = std::chrono::milliseconds(1);
  loop.restart();
  store.follow_host(kHost);
  runner.start();
  for (int turn = 0; turn < 100000 && finished_jobs() < kJobs; ++turn) loop.run_one();
  EXPECT_EQ(finished_jobs(), kJobs);
  EXPECT_LE(log.max_concurrent_newest_reads, 2);
}

/// Without a configuration there is no route, so the open item stays in the backing-off stage until
/// the node gives up its slot.
TEST_F(JobRunnerTest, OpenItemIsReportedInItsStageUntilTheNodeStopsRunningIt) {
  EXPECT_EQ(run_awaitable(loop, store.submit(make_job("open"))), SubmitStatus::kAccepted);
  submit_finished("done");
  loop.restart();
  store.follow_host(kHost);
  runner.start();
  const auto backing_off = [&] { return runner.item_stages().of(ItemStage::kBackingOff).items; };
  for (int turn = 0; turn < 100000 && backing_off() + finished_jobs() < 2; ++turn) loop.run_one();
  const StageSummary summary = runner.item_stages();
  EXPECT_EQ(summary.open_items, 1U);
  EXPECT_EQ(summary.of(ItemStage::kBackingOff).items, 1U);
  ASSERT_TRUE(summary.oldest);
  EXPECT_EQ(summary.oldest->job, make_job_key(kHost, "open"));
  EXPECT_EQ(summary.oldest->index, 0U);
  bool stopped = false;
  boost::asio::co_spawn(loop, runner.stop(), [&](const std::exception_ptr&) { stopped = true; });
  while (!stopped) loop.run_one();
  EXPECT_EQ(runner.item_stages().open_items, 0U);
}

/// The runner's answer is there, so the item is not run again; its text is given up only once the
/// route allows it.
TEST_F(JobRunnerTest, ItemWhoseResultIsRejectedEndsWithItsRetention) {
  ServingConfiguration configuration;
  configuration.version = 1;
  configuration.routes = {make_batch_route(kHost, std::chrono::seconds(1))};
  context.configuration = std::make_shared<const ServingConfiguration>(configuration);
  const std::string rejected_text = "rejected";
  ScriptedRunner scripted(loop, {plain_response("id: 1\ndata: " + rejected_text + "\n\n")});
  context.runners.upsert({"r", "chat", scripted.address(), "zone", kSlots, false});
  log.faults.rejects = [&](const KeyedRecord& record) {
    return record.value.find(rejected_text) != std::string::npos;
  };
  NewJob job = make_job("j");
  job.submission.submitted_ms = wall_clock_ms();
  EXPECT_EQ(run_awaitable(loop, store.submit(std::move(job))), SubmitStatus::kAccepted);
  store.follow_host(kHost);
  runner.start();
  loop.restart();
  while (finished_jobs() == 0 && loop.run_one() > 0) {
  }
  EXPECT_EQ(scripted.requests.size(), 1U);
  const auto& listed = store.results_of(make_job_key(kHost, "j")).listed();
  EXPECT_EQ(run_awaitable(loop, store.refresh_results(make_job_key(kHost, "j"))), LogStatus::kOk);
  ASSERT_EQ(listed.size(), 1U);
  EXPECT_EQ(listed[0].state, ItemState::kDeadLettered);
}

/// The records of a job are erased although no route of the configuration leads to it.
TEST_F(JobRunnerTest, FinishedJobOfARemovedRouteIsErased) {
  submit_finished("j");
  context.configuration = std::make_shared<const ServingConfiguration>();
  runner.start();
  const auto count_records = [&] {
    std::size_t records = 0;
    const JobKey key = make_job_key(kHost, "j");
    const PartitionName jobs{kJobsTopic, jobs_partition(kHost, small_limits().partitions)};
    records += model->read_newest(jobs, {}).records.size();
    for (const auto data : {JobData::kResults, JobData::kProgress, JobData::kRequests}) {
      records +=
          model->read_newest(store.partition_of(data, key), job_key_range(key)).records.size();
    }
    return records;
  };
  EXPECT_GT(count_records(), 0U);
  loop.restart();
  while (count_records() > 0 && loop.run_one() > 0) {
  }
  EXPECT_EQ(count_records(), 0U);
}

/// A node that is behind with its configuration finds the job of a route that it does not know yet.
TEST_F(JobRunnerTest, ItemOfARouteThatIsNotKnownYetIsKeptAndRunOnceItIs) {
  ConfigurationConfirmation confirmation(
      {[] { return ConfigurationPosition(); },
       []() -> boost::asio::awaitable<LogStatus> { co_return LogStatus::kUnknown; },
       []() -> boost::asio::awaitable<bool> { co_return false; }});
  context.confirmation = &confirmation;
  context.configuration = std::make_shared<const ServingConfiguration>();
  ScriptedRunner scripted(loop, {plain_response("id: 1\ndata: text\n\n")});
  context.runners.upsert({"r", "chat", scripted.address(), "zone", kSlots, false});
  EXPECT_EQ(run_awaitable(loop, store.submit(make_job("j"))), SubmitStatus::kAccepted);
  runner.start();
  loop.restart();
  loop.run_for(std::chrono::milliseconds(7000));
  EXPECT_EQ(runner.item_stages().of(ItemStage::kBackingOff).items, 1U);
  ServingConfiguration configuration;
  configuration.version = 2;
  configuration.routes = {make_batch_route(kHost, Duration{0})};
  context.configuration = std::make_shared<const ServingConfiguration>(configuration);
  store.follow_host(kHost);
  while (scripted.requests.empty() && loop.run_one() > 0) {
  }
  while (store.results_of(make_job_key(kHost, "j")).listed().empty()) {
    EXPECT_EQ(run_awaitable(loop, store.refresh_results(make_job_key(kHost, "j"))), LogStatus::kOk);
  }
  const auto& listed = store.results_of(make_job_key(kHost, "j")).listed();
  ASSERT_EQ(listed.size(), 1U);
  EXPECT_EQ(listed[0].state, ItemState::kCompleted);
  EXPECT_EQ(scripted.requests.size(), 1U);
}

}  // namespace
}  // namespace stoathold
