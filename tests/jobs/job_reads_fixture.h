/// @file
/// Test fixture: nodes on one log that counts their reads, with jobs of typical sizes.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "jobs/job_runner.h"
#include "tests/gateway/scripted_runner.h"
#include "tests/gateway/suspended_clock.h"
#include "tests/jobs/paged_record_log.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {

inline constexpr const char* kHost = "drafts.example";
/// Mean sizes of the requests and results of items, and the mean number of items of a job.
inline constexpr std::uint64_t kRequestBytes = 15'000;
inline constexpr std::uint64_t kResultBytes = 12'000;
inline constexpr std::size_t kJobItems = 10;
inline constexpr std::uint64_t kRequestsBytes = kJobItems * kRequestBytes;
inline constexpr std::uint64_t kResultsBytes = kJobItems * kResultBytes;

/// Returns the id of a job. The ids, and therefore the keys, sort by number.
inline std::string job_id(std::size_t number) {
  std::string digits = std::to_string(number);
  return "j" + std::string(4 - digits.size(), '0') + digits;
}

inline NewJob make_job(std::size_t number, std::size_t items = kJobItems) {
  NewJob job;
  job.submission.id = job_id(number);
  job.submission.host = kHost;
  job.submission.path = "/drafts/";
  job.submission.route = "drafts";
  job.submission.submitted_ms = wall_clock_ms();
  for (std::size_t i = 0; i < items; ++i) {
    JobItem item;
    item.id = job.submission.id + "-" + std::to_string(i);
    item.tokens = 100;
    job.submission.items.push_back(item);
    ItemRequest request;
    request.path = "/drafts/1";
    request.body = std::string(kRequestBytes, static_cast<char>('a' + i % 26));
    job.requests.push_back(encode(request));
  }
  return job;
}

/// One node: its log connection, job store and job runner.
struct JobNode {
  JobNode(boost::asio::io_context& loop, const std::shared_ptr<emulator::LogModel>& model,
          const std::string& name)
      : log(model, loop.get_executor()),
        context(loop.get_executor(), HeaderDialect{}, "zone"),
        store(loop.get_executor(), log, name),
        runner(context, store, log, JobRunnerSettings{name, std::chrono::hours(1), {}}) {
    ServingConfiguration configuration;
    configuration.version = 1;
    Route route;
    route.name = "drafts";
    route.host = kHost;
    route.path_prefix = "/drafts/";
    route.kind = RouteKind::kBatch;
    route.services = {{"chat", 1}};
    route.max_attempts = 2;
    configuration.routes.push_back(route);
    context.configuration = std::make_shared<const ServingConfiguration>(configuration);
  }

  /// Starts all jobs on this node and runs them on one runner, which has slots for all items.
  void run_jobs(const ScriptedRunner& scripted) {
    constexpr std::uint32_t kSlots = 1000;
    context.runners.upsert({"r", "chat", scripted.address(), "zone", kSlots, false});
    store.follow_host(kHost);
    runner.start();
    // Skip the slow start, during which few items may run.
    suspend_machine(std::chrono::seconds(5));
  }
  [[nodiscard]] std::size_t finished_jobs() const {
    std::size_t finished = 0;
    store.for_each_job([&](const JobKey&, const JobEntry& job) { finished += job.finished; });
    return finished;
  }

  PagedRecordLog log;
  GatewayContext context;
  JobStore store;
  JobRunner runner;
};

/// Returns a runner's answer that completes an item with a result of mean size.
inline ScriptedResponse result_answer() {
  return plain_response("id: 1\ndata: " + std::string(kResultBytes, 'r') + "\n\n");
}
/// Returns a runner's answer that rejects an item permanently, so that it is dead-lettered.
inline ScriptedResponse impossible_answer() {
  return plain_response("", "{id}", "422 Unprocessable Entity");
}

/// Nodes on one log whose history can be truncated.
class JobReadsFixture : public testing::Test {
 protected:
  JobReadsFixture() : model(std::make_shared<emulator::LogModel>()) {}

  /// Adds a node that lives as long as the test.
  JobNode& add_node(const std::string& name) {
    nodes_.push_back(std::make_unique<JobNode>(loop, model, name));
    return *nodes_.back();
  }
  /// Adds a runner that gives every request this answer and lives as long as the test.
  ScriptedRunner& add_runner(const ScriptedResponse& answer) {
    runners_.push_back(std::make_unique<ScriptedRunner>(loop, std::vector{answer}));
    return *runners_.back();
  }
  void submit(JobNode& node, NewJob job) {
    EXPECT_EQ(run_awaitable(loop, node.store.submit(std::move(job))), SubmitStatus::kAccepted);
  }
  /// Writes results for items of one job, in the given order.
  void write_results(JobNode& node, std::size_t job, const std::vector<std::uint32_t>& items) {
    std::size_t written = 0;
    ResultWriter writer(loop.get_executor(), node.store, [&](const ItemResult&) { ++written; });
    for (const std::uint32_t item : items) {
      writer.add({make_job_key(kHost, job_id(job)), item, ItemState::kCompleted,
                  std::string(kResultBytes, static_cast<char>('a' + item % 26))});
    }
    run_until([&] { return written == items.size(); });
    settle();
  }
  /// Runs the loop until the condition holds.
  template <typename Condition>
  void run_until(const Condition& holds) {
    loop.restart();
    while (!holds() && loop.run_one() > 0) {
    }
  }
  /// Runs a coroutine to completion.
  void run(boost::asio::awaitable<void> task) {
    bool done = false;
    boost::asio::co_spawn(loop, std::move(task), [&](std::exception_ptr) { done = true; });
    run_until([&] { return done; });
  }
  /// Runs all handlers that are ready.
  void settle() {
    loop.restart();
    while (loop.poll() > 0) {
    }
  }
  /// Returns the bytes of the newest records in the partitions of the jobs topic.
  [[nodiscard]] std::uint64_t listing_bytes() const {
    std::uint64_t bytes = 0;
    for (std::uint32_t number = 0; number < store_limits().partitions; ++number) {
      for (const auto& record : model->read_newest({kJobsTopic, number}, {}).records) {
        bytes += record.key.size() + record.value.size();
      }
    }
    return bytes;
  }

  boost::asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model;

 private:
  std::vector<std::unique_ptr<JobNode>> nodes_;
  std::vector<std::unique_ptr<ScriptedRunner>> runners_;
};

}  // namespace stoathold
