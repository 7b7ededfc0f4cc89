/// Fuzzing of the visibility of accepted jobs: several nodes on one log whose calls take time and
/// fail at random are restarted, and read through one another. An oracle checks what nodes answer
/// about a job against what callers were told of it before.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "tests/jobs/virtual_clock.h"
#include "tests/jobs/visibility_fleet.h"

namespace stoathold {
namespace {

constexpr const char* kHost = "drafts.example";
constexpr std::size_t kNodes = 4;
constexpr std::size_t kJobs = 6;
constexpr std::uint64_t kTokensPerItem = 100;
constexpr std::uint64_t kQueueLimit = 800;
constexpr Duration kStep = std::chrono::milliseconds(10);
/// Faults end after this time, and everything that they delayed has happened at the end of the
/// calm.
constexpr Duration kFaultyTime = std::chrono::seconds(12);
constexpr Duration kCalmTime = std::chrono::seconds(13);

std::string job_id(std::size_t job) {
  return "job-" + std::to_string(job);
}
JobKey job_key(std::size_t job) {
  return make_job_key(kHost, job_id(job));
}
std::size_t item_count(std::size_t job) {
  return 1 + job % 3;
}
std::string request_body(std::size_t job, std::size_t item) {
  return std::string(60, 'b') + job_id(job) + ":" + std::to_string(item);
}

NewJob make_job(std::size_t job, std::uint64_t max_queued_tokens) {
  NewJob made;
  made.submission.id = job_id(job);
  made.submission.host = kHost;
  made.submission.path = "/drafts/";
  made.submission.route = "drafts";
  made.max_queued_tokens = max_queued_tokens;
  for (std::size_t i = 0; i < item_count(job); ++i) {
    JobItem item;
    item.id = std::to_string(i);
    item.tokens = kTokensPerItem;
    made.submission.items.push_back(item);
    made.requests.push_back(encode(ItemRequest{"/p", {}, request_body(job, i)}));
  }
  return made;
}

/// What callers know of a job.
struct KnownJob {
  int not_refused = 0;    ///< Submissions without an answer yet, or with one other than a refusal.
  bool accepted = false;  ///< A caller was told so.
  bool finished = false;  ///< A node began to mark it.
  bool erased = false;    ///< A node began to erase it.
};

/// Counts over all runs, to detect runs that exercise nothing.
struct Totals {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t uncertain = 0;
  std::uint64_t found = 0;
  std::uint64_t absent = 0;
  std::uint64_t requests = 0;
  std::uint64_t from_peers = 0;
};
Totals totals;

/// One run with its own log, nodes and callers.
class Run {
 public:
  explicit Run(std::uint64_t seed)
      : random_(seed), store_(std::make_shared<SharedStore>(loop_.get_executor(), seed + 1)) {
    seed_process_random(seed);
    draw_faults();
    limit_ = random_.below(2) == 0 ? kQueueLimit : 0;
    fleet_.emplace(store_, kNodes);
  }

  /// @return whether every answer agreed with the earlier ones.
  bool play() {
    for (std::size_t node = 0; node < kNodes; ++node) spawn(find(node, 0));
    const TimePoint faults_end = monotonic_now() + kFaultyTime;
    while (monotonic_now() < faults_end && passed_) {
      constexpr std::uint64_t kStepsPerAct = 8;
      if (random_.below(kStepsPerAct) == 0) act();
      step();
    }
    store_->faults = StoreFaults();
    note("calm");
    run_for(kCalmTime);
    check_all("after the calm");
    // Without the log, nodes answer from what they read through one another.
    store_->faults.down = true;
    check_all("without the log");
    for (std::size_t node = 0; node < kNodes; ++node) fleet_->node(node).end();
    const TimePoint deadline = monotonic_now() + std::chrono::minutes(1);
    while ((active_ > 0 || fleet_->followers() > 0) && monotonic_now() < deadline) step();
    if (active_ > 0 || fleet_->followers() > 0) fail("a call does not end");
    if (!passed_) std::fputs(trace_.c_str(), stdout);
    return passed_;
  }

 private:
  void draw_faults() {
    StoreFaults& faults = store_->faults;
    // Some runs have many faults of one kind, others a few of each.
    for (std::uint64_t* frequency : {&faults.refused, &faults.read_lost, &faults.answer_lost,
                                     &faults.append_lost, &faults.append_delayed, &faults.slow}) {
      constexpr std::array<std::uint64_t, 4> kFrequencies{0, 20, 100, 300};
      *frequency = kFrequencies[random_.below(kFrequencies.size())];
    }
  }

  void note(const std::string& what) {
    char line[200];
    const double at = to_seconds(monotonic_now() - start_);
    std::snprintf(line, sizeof(line), "%8.2f %s\n", at, what.c_str());
    trace_ += line;
  }
  void fail(const std::string& what) {
    passed_ = false;
    note("BROKEN: " + what);
  }
  static std::string place(std::size_t node, std::size_t job) {
    return " job " + std::to_string(job) + " at node " + std::to_string(node);
  }

  /// Lets one step of the clock pass and runs what is due.
  void step() {
    advance_clock(kStep);
    // The event loop looks at its timers only when a timer of the steady clock is due.
    boost::asio::steady_timer tick(loop_, Duration{0});
    bool ticked = false;
    tick.async_wait([&](const boost::system::error_code&) { ticked = true; });
    loop_.restart();
    while (!ticked) loop_.run_one();
    while (loop_.poll() > 0) {
    }
  }
  void run_for(Duration length) {
    const TimePoint end = monotonic_now() + length;
    while (monotonic_now() < end) step();
  }
  void spawn(boost::asio::awaitable<void> task) {
    ++active_;
    boost::asio::co_spawn(loop_, std::move(task), [this](const std::exception_ptr&) { --active_; });
  }

  void act() {
    const std::size_t node = random_.below(kNodes);
    const std::size_t job = random_.below(kJobs);
    const std::uint64_t kind = random_.below(100);
    if (kind < 25) {
      submit_somewhere(node, job);
    } else if (kind < 60) {
      spawn(find(node, job));
    } else if (kind < 72) {
      spawn(read_request(node, job));
    } else if (kind < 78) {
      spawn(finish(node, job));
    } else if (kind < 82) {
      spawn(erase(node, job));
    } else if (kind < 88) {
      note("restart of node " + std::to_string(node));
      fleet_->start(node);
      spawn(find(node, job));
    } else if (kind < 90) {
      restart_all();
    } else if (kind < 97) {
      note("history dropped");
      store_->model.drop_history();
    } else {
      store_->faults.down = !store_->faults.down;
      note(store_->faults.down ? "log down" : "log up");
    }
  }
  void submit_somewhere(std::size_t node, std::size_t job) {
    spawn(submit(node, job));
    // A relay and a retry may reach two nodes at the same time.
    if (random_.below(3) == 0) spawn(submit(random_.below(kNodes), job));
  }
  void restart_all() {
    note("restart of all");
    for (std::size_t node = 0; node < kNodes; ++node) {
      fleet_->start(node);
      spawn(find(node, random_.below(kJobs)));
    }
  }

  boost::asio::awaitable<void> submit(std::size_t node, std::size_t job) {
    NodeLife& life = fleet_->node(node);
    KnownJob& known = known_[job];
    if (known.erased) co_return;
    ++known.not_refused;
    note("submit" + place(node, job));
    NewJob made = make_job(job, limit_);
    const SubmitStatus status = co_await life.jobs.submit(std::move(made));
    if (!life.alive) co_return;
    note("answer " + std::string(to_string(status)) + " to submit" + place(node, job));
    if (status == SubmitStatus::kAccepted) {
      ++totals.accepted;
      const bool first = !std::exchange(known.accepted, true);
      if (first && random_.below(4) == 0) restart_all();
    } else if (status == SubmitStatus::kUncertain) {
      ++totals.uncertain;
    } else {
      ++totals.refused;
      --known.not_refused;
    }
  }

  boost::asio::awaitable<void> find(std::size_t node, std::size_t job) {
    NodeLife& life = fleet_->node(node);
    KnownJob& known = known_[job];
    const bool accepted = known.accepted;
    const JobEntry* entry = nullptr;
    const LookupStatus status = co_await life.jobs.find(kHost, job_key(job), entry);
    if (!life.alive || known.erased) co_return;
    check_found(status, entry, accepted, "find" + place(node, job), job);
  }
  void check_found(LookupStatus status, const JobEntry* entry, bool accepted,
                   const std::string& what, std::size_t job) {
    if (status == LookupStatus::kUncertain) return;
    const bool found = status == LookupStatus::kFound;
    note(what + (found ? " found" : " absent"));
    ++(found ? totals.found : totals.absent);
    if (!found && accepted) fail("an accepted job is denied:" + what);
    if (found && known_[job].not_refused == 0) fail("a refused job is found:" + what);
    if (found && entry->submission.items.size() != item_count(job)) fail("item count:" + what);
  }

  boost::asio::awaitable<void> read_request(std::size_t node, std::size_t job) {
    NodeLife& life = fleet_->node(node);
    KnownJob& known = known_[job];
    const JobEntry* entry = nullptr;
    const LookupStatus found = co_await life.jobs.find(kHost, job_key(job), entry);
    const bool accepted = known.accepted && !known.finished;
    if (found != LookupStatus::kFound || !accepted || !life.alive) co_return;
    const auto item = static_cast<std::uint32_t>(random_.below(item_count(job)));
    ItemRequest request;
    const LookupStatus status = co_await life.jobs.read_request(job_key(job), item, request);
    if (!life.alive || known.finished || status == LookupStatus::kUncertain) co_return;
    ++totals.requests;
    const std::string what = "request" + place(node, job);
    note(what + (status == LookupStatus::kFound ? " read" : " absent"));
    if (status == LookupStatus::kAbsent) fail("an accepted request is gone: " + what);
    if (status == LookupStatus::kFound && request.body != request_body(job, item)) {
      fail("another request: " + what);
    }
  }

  boost::asio::awaitable<void> finish(std::size_t node, std::size_t job) {
    NodeLife& life = fleet_->node(node);
    KnownJob& known = known_[job];
    if (!known.accepted) co_return;
    known.finished = true;
    const LogStatus status =
        co_await life.jobs.mark(kHost, JobRecordKind::kFinished, job_key(job), "1");
    note("finish " + std::string(to_string(status)) + place(node, job));
    if (status == LogStatus::kOk) co_await life.jobs.delete_requests(job_key(job));
  }
  boost::asio::awaitable<void> erase(std::size_t node, std::size_t job) {
    NodeLife& life = fleet_->node(node);
    KnownJob& known = known_[job];
    if (!known.finished) co_return;
    known.erased = true;
    co_await life.jobs.erase(kHost, job_key(job));
    note("erase" + place(node, job));
  }

  /// Asks every node for every job; all must answer, and agree with the log.
  void check_all(const std::string& when) {
    note(when);
    for (std::size_t node = 0; node < kNodes; ++node) {
      for (std::size_t job = 0; job < kJobs; ++job) spawn(check(node, job));
    }
    run_for(std::chrono::seconds(2));
  }
  [[nodiscard]] bool is_in_log(std::size_t job) const {
    const std::string key = jobs_record_key(JobRecordKind::kSubmitted, job_key(job));
    const ReadResult newest = store_->model.read_newest({kJobsTopic, 0}, KeyRange{});
    return std::any_of(newest.records.begin(), newest.records.end(),
                       [&](const StoredRecord& record) { return record.key == key; });
  }
  boost::asio::awaitable<void> check(std::size_t node, std::size_t job) {
    NodeLife& life = fleet_->node(node);
    const bool exists = is_in_log(job);
    const std::string what = "check" + place(node, job);
    const JobEntry* entry = nullptr;
    const LookupStatus status = co_await life.jobs.find(kHost, job_key(job), entry);
    if (!known_[job].erased) check_found(status, entry, known_[job].accepted, what, job);
    if (exists && status != LookupStatus::kFound) fail("a job of the log is not found: " + what);
    if (!exists && status == LookupStatus::kFound) fail("an erased job is found: " + what);
    if (!store_->faults.down) spawn(read_request(node, job));
  }

  TimePoint start_ = monotonic_now();
  boost::asio::io_context loop_;
  Random random_;
  std::shared_ptr<SharedStore> store_;
  std::uint64_t limit_ = 0;
  std::optional<VisibilityFleet> fleet_;
  std::array<KnownJob, kJobs> known_;
  int active_ = 0;
  bool passed_ = true;
  std::string trace_;
};

}  // namespace
}  // namespace stoathold

int main(int argc, char** argv) {
  using namespace stoathold;
  constexpr std::uint64_t kDefaultSeed = 20261203;
  constexpr std::uint64_t kDefaultRuns = 200;
  const std::uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeed;
  const std::uint64_t runs = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : kDefaultRuns;
  std::uint64_t broken = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    Run run(seed);
    if (run.play()) continue;
    ++broken;
    std::printf("seed %llu breaks a promise\n", static_cast<unsigned long long>(seed));
    if (argc <= 3) break;
  }
  std::printf(
      "%llu accepted, %llu refused, %llu uncertain, %llu found, %llu absent, %llu requests, "
      "%llu runs broken\n",
      static_cast<unsigned long long>(totals.accepted),
      static_cast<unsigned long long>(totals.refused),
      static_cast<unsigned long long>(totals.uncertain),
      static_cast<unsigned long long>(totals.found), static_cast<unsigned long long>(totals.absent),
      static_cast<unsigned long long>(totals.requests), static_cast<unsigned long long>(broken));
  const bool tested = totals.accepted > runs && totals.found > runs && totals.requests > runs / 2;
  return broken == 0 && tested ? 0 : 1;
}
