#include "jobs/job_store.h"

#include <gtest/gtest.h>

#include "tests/jobs/append_results.h"
#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

constexpr const char* kHost = "drafts.example";

NewJob make_job(const std::string& id, std::size_t items, std::uint64_t tokens = 100,
                std::size_t request_bytes = 10) {
  NewJob job;
  job.submission.id = id;
  job.submission.host = kHost;
  job.submission.path = "/drafts/";
  job.submission.route = "drafts";
  for (std::size_t i = 0; i < items; ++i) {
    JobItem item;
    item.id = id + "-item-" + std::to_string(i);
    item.tokens = tokens;
    job.submission.items.push_back(item);
    ItemRequest request;
    request.path = "/drafts/" + std::to_string(i);
    request.body = std::string(request_bytes, static_cast<char>('a' + i % 26));
    job.requests.push_back(encode(request));
  }
  return job;
}

/// Two nodes on one log.
class JobStoreTest : public testing::Test {
 protected:
  JobStoreTest()
      : model(std::make_shared<emulator::LogModel>()),
        first_log(model, small_limits()),
        second_log(model, small_limits()),
        first(loop.get_executor(), first_log, "first", short_timeouts()),
        second(loop.get_executor(), second_log, "second", short_timeouts()) {}

  SubmitStatus submit(JobStore& store, NewJob job) {
    return run_awaitable(loop, store.submit(std::move(job)));
  }
  LookupStatus find(JobStore& store, const std::string& id) {
    const JobEntry* job = nullptr;
    return run_awaitable(loop, store.find(kHost, make_job_key(kHost, id), job));
  }
  void write_result(JobStore& store, const std::string& id, std::uint32_t item,
                    const std::string& text) {
    const JobKey key = make_job_key(kHost, id);
    const ItemResult result{key, item, ItemState::kCompleted, text};
    const auto make = [&] {
      return std::vector<KeyedRecord>{
          {result_record_key(key, item, store.unique_name()), encode(result)}};
    };
    EXPECT_TRUE(run_awaitable(loop, append_results(store, key, make)));
  }
  std::vector<std::string> read_texts(JobStore& store, const std::string& id) {
    const JobKey key = make_job_key(kHost, id);
    std::vector<std::string> texts;
    // A read may return only part of the results; the end is reached once a read returns no more.
    bool more = true;
    while (more) {
      const ResultPage page =
          run_awaitable(loop, store.read_results(kHost, key, texts.size(), Duration{0}));
      if (page.status != LookupStatus::kFound) return {"not found"};
      more = page.results->listed().size() > texts.size();
      texts.clear();
      for (const auto& result : page.results->listed()) texts.push_back(result.text);
    }
    return texts;
  }

  boost::asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model;
  FaultyRecordLog first_log;
  FaultyRecordLog second_log;
  JobStore first;
  JobStore second;
};

/// Guards against calls to the log after the time of a submission: a node that shuts down would end
/// before it has responded.
TEST_F(JobStoreTest, SubmissionThatMeetsConflictsEndsWithItsTimeout) {
  JobStoreTiming timing = short_timeouts();
  timing.operation_timeout = Duration{0};
  JobStore store(loop.get_executor(), first_log, "third", timing);
  first_log.faults.before_conditional_append = [this](const PartitionName& partition) {
    model->append(partition, {{"other", "record"}}, std::nullopt);
  };
  EXPECT_EQ(submit(store, make_job("job", 1)), SubmitStatus::kRefused);
  EXPECT_EQ(first_log.reads, 1);
  EXPECT_EQ(find(second, "job"), LookupStatus::kAbsent);
}

// A node that starts with 984 others reads the jobs through another node, whose records it shares.
TEST_F(JobStoreTest, SharesEachPartitionWithTheRecordsThatItHolds) {
  std::vector<TopicCache*> shared;
  second.set_replica_sharer(
      [&](const std::shared_ptr<PartitionReplica>& replica, TopicCache& cache) {
        EXPECT_EQ(replica->name().topic, kJobsTopic);
        shared.push_back(&cache);
      });
  EXPECT_EQ(submit(first, make_job("a", 2)), SubmitStatus::kAccepted);
  EXPECT_EQ(find(second, "a"), LookupStatus::kFound);
  EXPECT_EQ(find(second, "a"), LookupStatus::kFound);
  ASSERT_EQ(shared.size(), 1U);
  EXPECT_EQ(shared.front()->size(), 1U);
}

TEST_F(JobStoreTest, AJobSubmittedAtTwoNodesIsOneJob) {
  EXPECT_EQ(submit(first, make_job("j1", 3)), SubmitStatus::kAccepted);
  EXPECT_EQ(submit(second, make_job("j1", 3)), SubmitStatus::kAccepted);
  EXPECT_EQ(find(second, "j1"), LookupStatus::kFound);
  std::size_t jobs = 0;
  first.follow_host(kHost);
  first.for_each_job([&](const JobKey&, const JobEntry&) { ++jobs; });
  EXPECT_EQ(jobs, 1U);
}

TEST_F(JobStoreTest, SubmissionWithLostAppendAnswersIsAccepted) {
  first_log.faults.lose_answers = 2;  // Of the requests and of the submission.
  EXPECT_EQ(submit(first, make_job("j1", 2)), SubmitStatus::kAccepted);
  EXPECT_EQ(find(second, "j1"), LookupStatus::kFound);
}

TEST_F(JobStoreTest, DelayedSubmissionIsNotAppliedTwice) {
  // The first append is delayed, and another job is appended before it, so that its condition
  // fails.
  first_log.faults.topic = kJobsTopic;
  first_log.faults.delayed_appends = 1;
  first_log.faults.after_delayed_append = [&] {
    const JobSubmission other = make_job("other", 1).submission;
    const JobKey key = make_job_key(kHost, "other");
    model->append({kJobsTopic, jobs_partition(kHost, small_limits().partitions)},
                  {{jobs_record_key(JobRecordKind::kSubmitted, key), encode(other)}}, std::nullopt);
  };
  EXPECT_EQ(submit(first, make_job("j1", 1)), SubmitStatus::kAccepted);
  const auto count_records = [&] {
    return model->read({kJobsTopic, jobs_partition(kHost, small_limits().partitions)}, 0, 1000000)
        .records.size();
  };
  const std::size_t records = count_records();
  first_log.apply_delayed();
  EXPECT_EQ(count_records(), records);
}

TEST_F(JobStoreTest, SubmissionWithUnknownOutcomeIsNotRefused) {
  first_log.faults.topic = kJobsTopic;
  first_log.faults.delayed_appends = 1000;
  // A refusal promises that the job never runs, but the log may still apply the submission.
  EXPECT_EQ(submit(first, make_job("j1", 1)), SubmitStatus::kUncertain);
  EXPECT_EQ(find(second, "j1"), LookupStatus::kAbsent);
  first_log.apply_delayed();
  EXPECT_EQ(find(second, "j1"), LookupStatus::kFound);
}

TEST_F(JobStoreTest, JobWhoseRequestsAreNotStoredIsRefusedPermanently) {
  first_log.faults.topic = "job-bodies-0";
  first_log.faults.delayed_appends = 1000;
  EXPECT_EQ(submit(first, make_job("j1", 1)), SubmitStatus::kRefused);
  first_log.apply_delayed();
  EXPECT_EQ(find(second, "j1"), LookupStatus::kAbsent);
}

TEST_F(JobStoreTest, JobIsNotReportedAbsentWhileTheLogIsUnreachable) {
  EXPECT_EQ(submit(first, make_job("j1", 1)), SubmitStatus::kAccepted);
  second_log.faults.down = true;
  EXPECT_EQ(find(second, "j1"), LookupStatus::kUncertain);
  EXPECT_EQ(submit(second, make_job("j2", 1)), SubmitStatus::kRefused);
  second_log.faults.down = false;
  EXPECT_EQ(find(second, "j1"), LookupStatus::kFound);
  EXPECT_EQ(find(second, "j2"), LookupStatus::kAbsent);
}

TEST_F(JobStoreTest, QueuedTokensAreLimitedOverAllNodes) {
  NewJob job = make_job("j1", 4, 100);
  job.max_queued_tokens = 700;
  EXPECT_EQ(submit(first, job), SubmitStatus::kAccepted);
  NewJob second_job = make_job("j2", 4, 100);
  second_job.max_queued_tokens = 700;
  EXPECT_EQ(submit(second, second_job), SubmitStatus::kQuota);
  const JobKey key = make_job_key(kHost, "j1");
  EXPECT_EQ(
      run_awaitable(loop, first.mark(kHost, JobRecordKind::kProgress, key, encode_tokens(200))),
      LogStatus::kOk);
  EXPECT_EQ(submit(second, second_job), SubmitStatus::kAccepted);
}

TEST_F(JobStoreTest, EachTenantHasItsOwnQueuedTokens) {
  NewJob job = make_job("j1", 4, 100);
  job.max_queued_tokens = 700;
  job.submission.tenant = "alder";
  EXPECT_EQ(submit(first, job), SubmitStatus::kAccepted);
  NewJob same_tenant = make_job("j2", 4, 100);
  same_tenant.max_queued_tokens = 700;
  same_tenant.submission.tenant = "alder";
  EXPECT_EQ(submit(second, same_tenant), SubmitStatus::kQuota);
  NewJob other_tenant = make_job("j3", 4, 100);
  other_tenant.max_queued_tokens = 700;
  other_tenant.submission.tenant = "birch";
  EXPECT_EQ(submit(second, other_tenant), SubmitStatus::kAccepted);
}

TEST_F(JobStoreTest, RequestsLargerThanARecordAreReassembled) {
  NewJob job = make_job("j1", 3, 100, 5000);
  const std::vector<std::string> requests = job.requests;
  EXPECT_EQ(submit(first, job), SubmitStatus::kAccepted);
  const JobKey key = make_job_key(kHost, "j1");
  for (int round = 0; round < 2; ++round) {
    const JobEntry* entry = nullptr;
    EXPECT_EQ(run_awaitable(loop, second.find(kHost, key, entry)), LookupStatus::kFound);
    for (std::uint32_t i = 0; i < 3; ++i) {
      ItemRequest request;
      EXPECT_EQ(run_awaitable(loop, second.read_request(key, i, request)), LookupStatus::kFound);
      EXPECT_EQ(encode(request), requests[i]);
    }
    model->drop_history();  // The second round reads by key.
  }
}

TEST_F(JobStoreTest, TheFirstResultOfAnItemCountsAtItsPosition) {
  EXPECT_EQ(submit(first, make_job("j1", 3)), SubmitStatus::kAccepted);
  write_result(first, "j1", 2, "two");
  write_result(second, "j1", 0, "zero");
  write_result(first, "j1", 2, "two again");
  write_result(second, "j1", 1, "one");
  const std::vector<std::string> expected{"two", "zero", "one"};
  EXPECT_EQ(read_texts(first, "j1"), expected);
  EXPECT_EQ(read_texts(second, "j1"), expected);
}

/// Guards against a node that reads no further results for a caller whose position it has read.
TEST_F(JobStoreTest, PollsFromTheBeginningSeeLaterResults) {
  EXPECT_EQ(submit(first, make_job("j1", 2)), SubmitStatus::kAccepted);
  const JobKey key = make_job_key(kHost, "j1");
  write_result(first, "j1", 0, "zero");
  ResultPage page = run_awaitable(loop, second.read_results(kHost, key, 0, Duration{0}));
  ASSERT_EQ(page.status, LookupStatus::kFound);
  ASSERT_EQ(page.results->listed().size(), 1U);
  write_result(first, "j1", 1, "one");
  page = run_awaitable(loop, second.read_results(kHost, key, 0, Duration{0}));
  ASSERT_EQ(page.status, LookupStatus::kFound);
  EXPECT_EQ(page.results->listed().size(), 2U);
}

TEST_F(JobStoreTest, ResultsReadBeforeAreDeliveredWhileTheLogIsUnreachable) {
  EXPECT_EQ(submit(first, make_job("j1", 2)), SubmitStatus::kAccepted);
  const JobKey key = make_job_key(kHost, "j1");
  write_result(first, "j1", 0, "zero");
  EXPECT_EQ(read_texts(second, "j1"), (std::vector<std::string>{"zero"}));
  second_log.faults.down = true;
  const ResultPage page = run_awaitable(loop, second.read_results(kHost, key, 0, Duration{0}));
  ASSERT_EQ(page.status, LookupStatus::kFound);
  EXPECT_EQ(page.results->listed().size(), 1U);
}

TEST_F(JobStoreTest, PositionsAreStableAfterHistoryTruncation) {
  EXPECT_EQ(submit(first, make_job("j1", 3)), SubmitStatus::kAccepted);
  first_log.faults.lose_answers = 1;  // The result is written twice, under two keys.
  write_result(first, "j1", 2, "two");
  write_result(first, "j1", 0, "zero");
  const std::vector<std::string> before = read_texts(first, "j1");
  model->drop_history();
  EXPECT_EQ(read_texts(second, "j1"), before);
  EXPECT_EQ(before, (std::vector<std::string>{"two", "zero"}));
}

TEST_F(JobStoreTest, ReadsForAJobDoNotGrowWithOtherJobs) {
  constexpr std::size_t kOthers = 40;
  constexpr std::uint32_t kItems = 3;
  for (std::size_t i = 0; i < kOthers; ++i) {
    const std::string id = "other" + std::to_string(i);
    EXPECT_EQ(submit(first, make_job(id, kItems)), SubmitStatus::kAccepted);
    for (std::uint32_t item = 0; item < kItems; ++item) write_result(first, id, item, "text");
  }
  EXPECT_EQ(submit(first, make_job("j1", 2)), SubmitStatus::kAccepted);
  write_result(first, "j1", 1, "one");
  EXPECT_EQ(read_texts(second, "j1"), (std::vector<std::string>{"one"}));
  // All submissions are read, but only the job's own results: twice, of which the second read finds
  // nothing new.
  EXPECT_LE(second_log.records_read, kOthers + 1 + 2);
  write_result(first, "j1", 0, "zero");
  EXPECT_EQ(read_texts(second, "j1"), (std::vector<std::string>{"one", "zero"}));
}

TEST_F(JobStoreTest, CancellationIsVisibleAtOtherNodes) {
  EXPECT_EQ(submit(first, make_job("j1", 1)), SubmitStatus::kAccepted);
  const JobKey key = make_job_key(kHost, "j1");
  EXPECT_EQ(run_awaitable(loop, second.cancel(kHost, key)), LogStatus::kOk);
  const JobEntry* job = nullptr;
  EXPECT_EQ(run_awaitable(loop, first.find(kHost, key, job)), LookupStatus::kFound);
  EXPECT_EQ(submit(first, make_job("j3", 1)), SubmitStatus::kAccepted);
  EXPECT_EQ(run_awaitable(loop, first.find(kHost, key, job)), LookupStatus::kFound);
  EXPECT_TRUE(job->cancelled);
}

TEST_F(JobStoreTest, JobsReadBeforeTheirHostIsFollowedAreReportedOnFollow) {
  // A restarted node may answer a read before it has the configuration that contains the host.
  EXPECT_EQ(submit(first, make_job("j1", 1)), SubmitStatus::kAccepted);
  std::vector<JobKey> notified;
  second.set_listener([&](const JobKey& key, const JobEntry&) { notified.push_back(key); });
  EXPECT_EQ(find(second, "j1"), LookupStatus::kFound);
  notified.clear();
  second.follow_host(kHost);
  EXPECT_EQ(notified, (std::vector<JobKey>{make_job_key(kHost, "j1")}));
  notified.clear();
  second.follow_host(kHost);
  EXPECT_TRUE(notified.empty());
}

TEST_F(JobStoreTest, ErasedJobLeavesNoRecords) {
  EXPECT_EQ(submit(first, make_job("j1", 2)), SubmitStatus::kAccepted);
  write_result(first, "j1", 0, "zero");
  const JobKey key = make_job_key(kHost, "j1");
  bool done = false;
  boost::asio::co_spawn(loop, first.erase(kHost, key), [&](std::exception_ptr) { done = true; });
  loop.restart();
  while (!done && loop.run_one() > 0) {
  }
  EXPECT_EQ(find(second, "j1"), LookupStatus::kAbsent);
  for (const JobData data : {JobData::kRequests, JobData::kResults}) {
    const PartitionName partition = first.partition_of(data, key);
    EXPECT_TRUE(model->read_newest(partition, job_key_range(key)).records.empty());
  }
}

/// The keys of a large job take more than one call.
TEST_F(JobStoreTest, ErasureOfALargeJobStaysWithinTheSizeOfACall) {
  constexpr std::size_t kItems = 30;
  constexpr std::size_t kRequestBytes = 1750;  // Two records.
  LogLimits limits = small_limits();
  limits.call_bytes = 2500;
  FaultyRecordLog log(model, limits);
  JobStore store(loop.get_executor(), log, "eraser", short_timeouts());
  EXPECT_EQ(submit(store, make_job("j1", kItems, 1, kRequestBytes)), SubmitStatus::kAccepted);
  const JobKey key = make_job_key(kHost, "j1");
  log.faults.max_append_bytes = limits.call_bytes;
  bool done = false;
  boost::asio::co_spawn(loop, store.erase(kHost, key), [&](std::exception_ptr) { done = true; });
  loop.restart();
  while (!done && loop.run_one() > 0) {
  }
  EXPECT_EQ(log.rejected_appends, 0);
  EXPECT_EQ(find(second, "j1"), LookupStatus::kAbsent);
  const PartitionName requests = store.partition_of(JobData::kRequests, key);
  EXPECT_TRUE(model->read_newest(requests, job_key_range(key)).records.empty());
}

TEST_F(JobStoreTest, IdleNodeReadsJobsOnlyOnceItRunsJobs) {
  std::vector<JobKey> notified;
  second.set_listener([&](const JobKey& key, const JobEntry&) { notified.push_back(key); });
  second.set_running_jobs(false);
  second.follow_host(kHost);
  EXPECT_EQ(submit(first, make_job("j1", 3)), SubmitStatus::kAccepted);
  loop.poll();
  EXPECT_TRUE(notified.empty());
  EXPECT_EQ(second_log.records_read, 0U);
  second.set_running_jobs(true);
  loop.poll();
  ASSERT_EQ(notified.size(), 1U);
  EXPECT_EQ(notified.front(), make_job_key(kHost, "j1"));
}

TEST_F(JobStoreTest, IdleNodeStillAnswersLookupsAndReads) {
  second.set_running_jobs(false);
  second.follow_host(kHost);
  EXPECT_EQ(submit(first, make_job("j1", 1)), SubmitStatus::kAccepted);
  loop.poll();
  EXPECT_EQ(find(second, "j1"), LookupStatus::kFound);
  write_result(first, "j1", 0, "text");
  EXPECT_EQ(read_texts(second, "j1"), std::vector<std::string>{"text"});
}

}  // namespace
}  // namespace stoathold
