/// Tests that each stage of an item ends although what usually ends it does not happen.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <numeric>
#include <string>

#include "jobs/job_runner.h"
#include "tests/gateway/scripted_runner.h"
#include "tests/jobs/faulty_record_log.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr const char* kHost = "drafts.example";
constexpr std::uint32_t kSlots = 16;

/// Rejects appends with a record above the size limit, as the metadata store does.
class SizeCheckingLog final : public RecordLog {
 public:
  explicit SizeCheckingLog(const std::shared_ptr<emulator::LogModel>& model)
      : log_(model, small_limits()) {
    log_.held_slots.resize(kSlots);
    std::iota(log_.held_slots.begin(), log_.held_slots.end(), 0);
  }

  const LogLimits& limits() const override { return log_.limits(); }
  asio::awaitable<ReadResult> read(PartitionName partition, RecordOffset from,
                                   std::uint64_t max_bytes, Duration wait) override {
    return log_.read(std::move(partition), from, max_bytes, wait);
  }
  asio::awaitable<ReadResult> read_newest(PartitionName partition, KeyRange range,
                                          Duration page_timeout) override {
    return log_.read_newest(std::move(partition), std::move(range), page_timeout);
  }
  asio::awaitable<AppendResult> append(PartitionName partition, std::vector<KeyedRecord> records,
                                       std::optional<RecordOffset> expected_end) override {
    const bool fits = std::all_of(records.begin(), records.end(), [&](const KeyedRecord& record) {
      return record.key.size() + record.value.size() <= limits().record_bytes;
    });
    AppendResult result;
    result.status = LogStatus::kRejected;
    if (fits) result = co_await log_.append(std::move(partition), std::move(records), expected_end);
    co_return result;
  }
  asio::awaitable<GroupAssignment> join(GroupMember member) override {
    return log_.join(std::move(member));
  }
  asio::awaitable<MemberList> members(std::string group) override {
    return log_.members(std::move(group));
  }
  asio::awaitable<LogStatus> leave(GroupMember member) override {
    return log_.leave(std::move(member));
  }

 private:
  FaultyRecordLog log_;
};

NewJob make_job(const std::string& id, std::size_t items = 1) {
  NewJob job;
  job.submission.id = id;
  job.submission.host = kHost;
  job.submission.path = "/drafts/";
  job.submission.route = "drafts";
  job.submission.submitted_ms = wall_clock_ms();
  for (std::size_t i = 0; i < items; ++i) {
    JobItem item;
    item.id = id + "-" + std::to_string(i);
    job.submission.items.push_back(item);
    job.requests.push_back(encode(ItemRequest{"/drafts/1", {}, {}}));
  }
  return job;
}

Route batch_route() {
  Route route;
  route.name = "drafts";
  route.host = kHost;
  route.path_prefix = "/drafts/";
  route.kind = RouteKind::kBatch;
  route.services = {{"chat", 1}};
  route.max_attempts = 2;
  return route;
}

/// A node that holds all slots, on a log of its own.
class StuckItemsTest : public testing::Test {
 protected:
  StuckItemsTest()
      : model(std::make_shared<emulator::LogModel>()),
        log(model),
        context(loop.get_executor(), HeaderDialect{}, "zone"),
        store(loop.get_executor(), log, "node", short_timeouts()),
        runner(context, store, log, JobRunnerSettings{"node", std::chrono::hours(1), {}}) {}

  void configure(const std::vector<Route>& routes) {
    ServingConfiguration configuration;
    configuration.version = 1;
    configuration.routes = routes;
    context.configuration = std::make_shared<const ServingConfiguration>(configuration);
  }
  void add_runner(const std::string& address) {
    context.runners.upsert({"r", "chat", address, "zone", kSlots, false});
  }
  void submit(NewJob job) {
    EXPECT_EQ(run_awaitable(loop, store.submit(std::move(job))), SubmitStatus::kAccepted);
  }
  void run_for(Duration duration) {
    loop.restart();
    loop.run_for(duration);
  }
  [[nodiscard]] bool is_finished(const std::string& id) const {
    bool finished = false;
    const JobKey wanted = make_job_key(kHost, id);
    store.for_each_job([&](const JobKey& key, const JobEntry& job) {
      if (key == wanted) finished = job.finished;
    });
    return finished;
  }

  asio::io_context loop;
  std::shared_ptr<emulator::LogModel> model;
  SizeCheckingLog log;
  GatewayContext context;
  JobStore store;
  JobRunner runner;
};

using WritingResultTest = StuckItemsTest;
using ReadingRequestTest = StuckItemsTest;
using JobQueuedTest = StuckItemsTest;
using RunningItemTest = StuckItemsTest;
using UnsendableItemTest = StuckItemsTest;

/// A result that the log rejects for its size is retried at the head of the queue of its partition.
TEST_F(WritingResultTest, RejectedResultDoesNotHoldUpOtherResultsOfItsPartition) {
  submit(make_job("j", 2));
  const JobKey key = make_job_key(kHost, "j");
  std::vector<std::uint32_t> durable;
  ResultWriter writer(loop.get_executor(), store,
                      [&](const ItemResult& result) { durable.push_back(result.item); });
  writer.add({key, 0, ItemState::kCompleted, std::string(2 * small_limits().record_bytes, 'x')});
  writer.add({key, 1, ItemState::kCompleted, "short"});
  run_for(std::chrono::seconds(3));
  EXPECT_TRUE(std::find(durable.begin(), durable.end(), 1U) != durable.end());
}

/// The retention is checked only while an item runs, and an item without its request never does.
TEST_F(ReadingRequestTest, ItemWithoutItsRequestIsGivenUpAfterItsRetention) {
  Route route = batch_route();
  route.item_retention = std::chrono::seconds(1);
  configure({route});
  for (const char* id : {"missing", "present"}) {
    NewJob job = make_job(id);
    job.submission.submitted_ms -= 60'000;
    submit(std::move(job));
  }
  const JobKey key = make_job_key(kHost, "missing");
  const PartitionName requests = store.partition_of(JobData::kRequests, key);
  for (const auto& record : model->read_newest(requests, job_key_range(key)).records) {
    model->append(requests, {{record.key, {}}}, std::nullopt);
  }
  model->drop_history();
  store.follow_host(kHost);
  runner.start();
  run_for(std::chrono::seconds(5));
  EXPECT_TRUE(is_finished("present"));
  EXPECT_TRUE(is_finished("missing"));
}

/// A node follows the jobs of the hosts that its configuration names. After the route was removed,
/// a node that has started since does not learn of the jobs in the slots that it holds.
TEST_F(JobQueuedTest, NodeStartedAfterTheRouteWasRemovedEndsItsJobs) {
  submit(make_job("j"));
  ConfigurationConfirmation confirmation(
      {[] { return ConfigurationPosition(); },
       []() -> asio::awaitable<LogStatus> { co_return LogStatus::kOk; },
       []() -> asio::awaitable<bool> { co_return true; }});
  JobStore started_store(loop.get_executor(), log, "started", short_timeouts());
  GatewayContext started_context(loop.get_executor(), HeaderDialect{}, "zone");
  started_context.configuration = std::make_shared<const ServingConfiguration>();
  started_context.confirmation = &confirmation;
  JobRunner started(started_context, started_store, log,
                    JobRunnerSettings{"started", std::chrono::hours(1), {}});
  started.start();
  run_for(std::chrono::milliseconds(8000));
  const JobEntry* job = nullptr;
  ASSERT_EQ(run_awaitable(loop, store.find(kHost, make_job_key(kHost, "j"), job)),
            LookupStatus::kFound);
  const LogStatus read =
      run_awaitable(loop, store.refresh_results(make_job_key(kHost, "j"), TimePoint::max()));
  ASSERT_EQ(read, LogStatus::kOk);
  EXPECT_EQ(store.results_of(make_job_key(kHost, "j")).listed().size(), 1U);
}

/// Accepts connections and sends one event on each, and then only comments.
class CommentingRunner {
 public:
  explicit CommentingRunner(asio::io_context& loop)
      : acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(loop, accept(), asio::detached);
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int connections = 0;

 private:
  asio::awaitable<void> accept() {
    while (true) {
      asio::ip::tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
      ++connections;
      asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
    }
  }
  static asio::awaitable<void> serve(asio::ip::tcp::socket socket) {
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                    asio::use_awaitable);
    std::string bytes = stream_head() + chunk(event(1));
    bytes.replace(bytes.find("{id}"), 4, "j-0");
    while (true) {
      co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
      asio::steady_timer timer(socket.get_executor(), milliseconds(300));
      co_await timer.async_wait(asio::use_awaitable);
      bytes = chunk(": still here\n\n");
    }
  }

  asio::ip::tcp::acceptor acceptor_;
};

/// Any bytes postpone the deadline for the next event.
TEST_F(RunningItemTest, CommentsDoNotPostponeTheDeadlineOfTheNextEvent) {
  configure({batch_route()});
  CommentingRunner commenting(loop);
  add_runner(commenting.address());
  submit(make_job("j"));
  store.follow_host(kHost);
  runner.start();
  run_for(std::chrono::seconds(6));
  EXPECT_GE(commenting.connections, 2);
}

/// A header value above the limit of the HTTP library makes the coroutine of the item throw.
TEST_F(UnsendableItemTest, ItemThatCannotBeSentReturnsItsSlot) {
  constexpr std::size_t kHeaderBytes = 70'000;
  configure({batch_route()});
  ScriptedRunner scripted(loop, {plain_response(event(1))});
  add_runner(scripted.address());
  const auto run = std::make_shared<ItemRun>(
      context, ItemContext{.job = "j", .item_id = "j-0", .host = kHost, .path = "/drafts/"},
      ItemRequest{
          .path = "/drafts/1", .headers = {{"A", std::string(kHeaderBytes, 'a')}}, .body = ""},
      ItemProgress{}, Duration{0});
  bool threw = false;
  asio::co_spawn(loop, run->run(), [&](const std::exception_ptr& failure, const auto&) {
    threw = failure != nullptr;
  });
  run_for(std::chrono::seconds(1));
  EXPECT_FALSE(threw);
  EXPECT_EQ(context.runners.all().at("r")->in_flight(), 0U);
  run->stop();
  run_for(milliseconds(100));
}

}  // namespace
}  // namespace stoathold
