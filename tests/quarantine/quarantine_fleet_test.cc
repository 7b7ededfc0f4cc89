/// Tests the quarantine in a simulated fleet without sockets: poison requests, runners that exit
/// for other reasons, partitioned and restarted nodes. Checks the bound on the sends of a poison
/// request and that no other request is quarantined. Compares with nodes that only use local
/// counters.
#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <memory>
#include <set>

#include "base/random.h"
#include "quarantine/quarantine.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kSimulatedTime = std::chrono::seconds(20);
/// A poison request may be sent at most `kSendsAllowed` times later than this after its third exit.
constexpr Duration kPropagationTime = std::chrono::seconds(3);
constexpr std::size_t kSendsAllowed = 3;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint64_t kFirstInnocent = 1000;
constexpr Duration kFlapPeriod = milliseconds(425);
constexpr Duration kRetryPause = milliseconds(30);
constexpr Duration kCallerRetryPause = milliseconds(300);

/// Parameters of a simulation.
struct FleetScenario {
  std::size_t nodes = 3;
  std::size_t runners = 0;          ///< 0: as many as nodes, but at least 4.
  std::size_t poison_requests = 1;  ///< Number of different poison requests.
  bool innocent_crashes = true;     ///< Runners also exit for other reasons, many at the same time.
  /// For the first 12 seconds a third of the nodes hears from no other node.
  bool partitioned = false;
  bool restart = false;  ///< In second 6 a third of the nodes restarts.
  bool shared = true;    ///< Nodes share exits and records; otherwise each one uses local counters.
  bool log = true;       ///< The log holds records of quarantined requests.
  bool notices = false;  ///< Nodes send each other notices of quarantined requests.
  bool cut_zone = false;  ///< For the first 12 seconds one zone hears nothing from the others.
  /// Runners restart under their ids, and the directory that would list the restarts is
  /// unavailable.
  bool unlisted_restarts = false;
  Duration restart_time = milliseconds(1200);  ///< From a runner's exit to its next start.
  /// Share of the runners that alternate between `kFlapPeriod` of running and of being down. While
  /// it is down, a runner stays listed, and its address accepts connections and closes them at
  /// once. Requests are then retried until they are served.
  double flapping = 0;
  bool silent_poison = false;  ///< Poison requests end their runners before any response.
  bool other_traffic = true;   ///< There are requests beside the poison requests.
  /// Longest wait of a request for a runner; 0: a request without a runner is dropped.
  Duration queue_time{0};
  /// Time from the send of a silent poison request to the exit of its runner; 0: random.
  Duration silent_run_time{0};
  /// Longest time until a response starts.
  Duration max_response_delay = milliseconds(65);
  /// Callers repeat sound requests until they are served.
  bool persistent_callers = false;
  /// A runner's exit counts for each poison request that was there, whichever caused it.
  bool counts_shared_exits = false;
  std::uint64_t seed = 1;
};

/// Results of a simulation.
struct FleetOutcome {
  std::size_t ends = 0;             ///< Runner exits caused by poison requests.
  std::size_t late_sends = 0;       ///< Maximum number of late sends over all poison requests.
  std::size_t false_positives = 0;  ///< Innocent requests that were quarantined.
  std::size_t backoffs = 0;         ///< Innocent requests that backed off.
};

/// Alternative design in which each node counts the exits of a request on its own.
class LocalCounter {
 public:
  void note_end(ContentHash content) { ++ends_[content]; }
  [[nodiscard]] bool holds(ContentHash content) const {
    const auto found = ends_.find(content);
    return found != ends_.end() && found->second >= 3;
  }

 private:
  std::map<ContentHash, int> ends_;
};

class Fleet {
 public:
  explicit Fleet(const FleetScenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    for (std::size_t i = 0; i < scenario.nodes; ++i) start_node(i);
    runners_.resize(scenario.runners > 0 ? scenario.runners
                                         : std::max<std::size_t>(4, scenario.nodes));
    for (auto& runner : runners_) runner.id = ++next_id_;
    if (scenario.flapping == 0) return;
    for (auto& runner : runners_) runner.flaps = random_.unit() < scenario.flapping;
  }

  FleetOutcome simulate() {
    for (now_ = kStart; now_ < kStart + kSimulatedTime; now_ += kStep) step();
    for (const auto& [content, third_exit] : third_exit_) {
      std::size_t late = 0;
      for (const TimePoint sent : poison_sends_[content])
        late += sent > third_exit + kPropagationTime ? 1 : 0;
      result_.late_sends = std::max(result_.late_sends, late);
    }
    result_.false_positives = false_positives_.size();
    result_.backoffs = backed_off_.size();
    return result_;
  }

 private:
  struct Node {
    std::unique_ptr<Quarantine> quarantine;
    LocalCounter local;
  };
  struct Run {
    std::uint64_t content = 0;
    std::size_t node = 0;
    TimePoint connected{};
    TimePoint begins{};
    TimePoint delivers{};
    TimePoint ends{};
    int attempt = 1;  ///< Runs of this request so far, over both attempts of its client.
    bool reached_dead_runner = false;
    bool probed = false;  ///< The runner responded right before it got the request.
    TimePoint queued_since{};
  };
  struct Runner {
    std::uint64_t id = 0;
    std::vector<Run> runs;
    TimePoint up_at{};
    bool flaps = false;
  };
  struct Retry {
    TimePoint due{};
    Run run;
  };
  struct Message {
    TimePoint due{};
    std::size_t to = 0;
    std::vector<RunnerExitReport> reports;
    std::vector<QuarantineNotice> notices;
    bool forward = false;
  };

  static constexpr TimePoint kStart{std::chrono::seconds(100)};

  void start_node(std::size_t index) {
    if (index >= nodes_.size()) nodes_.resize(index + 1);
    Node& node = nodes_[index];
    node.local = {};
    node.quarantine =
        std::make_unique<Quarantine>([this](std::uint64_t runner) -> std::optional<RunnerLife> {
          const auto found = live_periods_.find(runner);
          if (found == live_periods_.end()) return std::nullopt;
          return RunnerLife{.period = found->second};
        });
    node.quarantine->set_quarantined_handler([this](ContentHash content, std::size_t ends) {
      const QuarantineRecord record{0, static_cast<std::uint32_t>(ends)};
      if (scenario_.log) records_.emplace(content, std::pair(now_ + milliseconds(20), record));
    });
    for (const auto& [content, record] : delivered_) {
      node.quarantine->apply_record(content, record, now_, 0);
    }
  }

  static std::size_t zone_of(std::size_t node) { return node % 3; }
  /// Number of nodes per zone, at least 1.
  [[nodiscard]] std::size_t rows() const { return std::max<std::size_t>(1, nodes_.size() / 3); }
  [[nodiscard]] Duration since_start() const { return now_ - kStart; }
  [[nodiscard]] bool is_partitioned(std::size_t node) const {
    const bool during_partition = since_start() < std::chrono::seconds(12);
    return scenario_.partitioned && during_partition && node % 3 == 1;
  }
  static bool is_poison(std::uint64_t content) { return content < kFirstInnocent; }

  void step() {
    flap();
    retry();
    if (scenario_.restart && since_start() == std::chrono::seconds(6)) {
      for (std::size_t i = 0; i < nodes_.size(); i += 3) start_node(i);
      for (std::size_t i = 0; i < nodes_.size() && scenario_.notices; i += 3) greet(i);
    }
    deliver();
    for (auto& runner : runners_) advance(runner);
    if (scenario_.innocent_crashes && since_start() % milliseconds(400) == Duration{0}) {
      for (auto& runner : runners_) {
        if (random_.unit() < 0.2) exit_runner(runner);
      }
    }
    arrive();
    send_reports();
  }

  /// Flapping runners go down in turn.
  void flap() {
    for (auto& runner : runners_) {
      const bool due = (since_start() + runner.id * milliseconds(35)) % (2 * kFlapPeriod) < kStep;
      if (!runner.flaps || !due) continue;
      exit_runner(runner);
      runner.up_at = now_ + kFlapPeriod;
    }
  }

  void retry() {
    std::vector<Retry> due;
    std::erase_if(retries_, [&](const Retry& retry) {
      if (retry.due <= now_) due.push_back(retry);
      return retry.due <= now_;
    });
    for (const Retry& retry : due) send(retry.run);
  }

  void arrive() {
    // Half of the slots are in use: each run lasts some 300 ms.
    const double innocent_arrivals =
        0.5 * kSlots * static_cast<double>(runners_.size()) * 0.005 / 0.3;
    for (double left = scenario_.other_traffic ? innocent_arrivals : 0; left > random_.unit();
         left -= 1) {
      send({.content = kFirstInnocent + next_innocent_++, .node = random_.below(nodes_.size())});
    }
    for (std::uint64_t content = 1; content <= scenario_.poison_requests; ++content) {
      if (random_.unit() < 0.06) send({.content = content, .node = random_.below(nodes_.size())});
    }
  }

  [[nodiscard]] bool is_quarantined(const Run& run) const {
    const Node& node = nodes_[run.node];
    const ContentHash content{run.content};
    return scenario_.shared ? node.quarantine->contains(content, now_) : node.local.holds(content);
  }

  [[nodiscard]] bool is_backing_off(const Run& run) const {
    const Quarantine& quarantine = *nodes_[run.node].quarantine;
    return scenario_.shared &&
           quarantine.backoff_left(ContentHash{run.content}, now_) > Duration{0};
  }

  void back_off(Run run) {
    backed_off_.insert(run.content);
    if (!scenario_.persistent_callers) return;
    run.attempt = 1;
    retries_.push_back({now_ + kCallerRetryPause, run});
  }

  void send(Run run) {
    if (is_quarantined(run)) {
      if (!is_poison(run.content)) false_positives_.insert(run.content);
      return;
    }
    if (is_backing_off(run)) {
      if (!is_poison(run.content)) back_off(run);
      return;
    }
    std::vector<Runner*> candidates;
    for (auto& runner : runners_) {
      const bool looks_up = runner.up_at <= now_ || runner.flaps;
      if (looks_up && runner.runs.size() < kSlots) candidates.push_back(&runner);
    }
    if (candidates.empty()) {
      wait_for_runner(run);
      return;
    }
    run.queued_since = {};
    Runner& runner = *candidates[random_.below(candidates.size())];
    run.probed = nodes_[run.node].quarantine->requires_live_runner(ContentHash{run.content});
    if (run.probed && runner.up_at > now_) {
      retries_.push_back({now_ + kRetryPause, run});
      return;
    }
    run.connected = now_;
    run.reached_dead_runner = runner.up_at > now_;
    const auto spread = std::chrono::duration_cast<milliseconds>(scenario_.max_response_delay);
    run.begins =
        now_ + milliseconds(5 + random_.below(static_cast<std::size_t>(spread.count()) - 5));
    run.delivers = run.begins + milliseconds(is_poison(run.content) ? 1000 : 1);
    run.ends = run.begins + milliseconds(is_poison(run.content) ? 60 : 300);
    if (scenario_.silent_poison && is_poison(run.content)) run.begins = TimePoint::max();
    const bool has_run_time = scenario_.silent_run_time > Duration{0};
    if (has_run_time && is_poison(run.content)) run.ends = now_ + scenario_.silent_run_time;
    if (run.reached_dead_runner) run.begins = run.delivers = run.ends = TimePoint::max();
    if (is_poison(run.content)) poison_sends_[run.content].push_back(now_);
    runner.runs.push_back(run);
    nodes_[run.node].quarantine->record_send(ContentHash{run.content}, now_);
  }

  void wait_for_runner(Run run) {
    if (run.queued_since == TimePoint{}) run.queued_since = now_;
    const bool may_wait = now_ - run.queued_since < scenario_.queue_time;
    if (may_wait) retries_.push_back({now_ + kStep, run});
  }

  /// Ends the runs that a dead runner's address has accepted.
  void close_unreached(Runner& runner) {
    std::vector<Run> closed;
    std::erase_if(runner.runs, [&](const Run& run) {
      if (run.reached_dead_runner) closed.push_back(run);
      return run.reached_dead_runner;
    });
    for (Run& run : closed) {
      note_end(run, runner.id);
      run.reached_dead_runner = false;
      retries_.push_back({now_ + kRetryPause, run});
    }
  }

  void advance(Runner& runner) {
    close_unreached(runner);
    bool ends = false;
    std::vector<Run> done;
    for (const Run& run : runner.runs) {
      if (!is_poison(run.content) && now_ >= run.begins) {
        live_periods_[runner.id].record_receive(run.connected, now_);
      }
      if (now_ < run.ends) continue;
      if (is_poison(run.content)) ends = true;
      if (!is_poison(run.content)) done.push_back(run);
    }
    std::erase_if(runner.runs,
                  [&](const Run& run) { return !is_poison(run.content) && now_ >= run.ends; });
    for (const Run& run : done) {
      nodes_[run.node].quarantine->record_progress(ContentHash{run.content}, now_);
    }
    if (ends) exit_runner(runner);
  }

  void exit_runner(Runner& runner) {
    if (runner.up_at > now_) return;
    const std::vector<Run> runs = std::exchange(runner.runs, {});
    const std::uint64_t id = runner.id;
    if (!scenario_.unlisted_restarts) runner.id = ++next_id_;
    runner.up_at = now_ + scenario_.restart_time;
    std::set<std::uint64_t> counted;
    for (const Run& run : runs) {
      const bool counts = now_ >= run.ends || scenario_.counts_shared_exits;
      if (is_poison(run.content) && counts && counted.insert(run.content).second) {
        ++result_.ends;
        if (++exit_counts_[run.content] == 3) third_exit_[run.content] = now_;
      }
      note_end(run, id);
    }
    for (Run run : runs) {
      if (scenario_.flapping > 0) {
        retries_.push_back({now_ + kRetryPause, run});
        continue;
      }
      if (run.attempt++ >= 4) {
        if (!scenario_.persistent_callers || is_poison(run.content)) continue;
        run.attempt = 1;
        retries_.push_back({now_ + kCallerRetryPause, run});
        continue;
      }
      if (run.attempt == 3) run.node = random_.below(nodes_.size());
      send(run);
    }
  }

  void note_end(const Run& run, std::uint64_t runner) {
    Node& node = nodes_[run.node];
    node.local.note_end(ContentHash{run.content});
    if (now_ >= run.delivers) return;
    const RunStage stage = now_ >= run.begins ? RunStage::kResponseStarted : RunStage::kWaiting;
    const auto life = live_periods_.find(runner);
    const bool was_heard =
        life != live_periods_.end() && life->second.covers_send(run.connected, run.connected);
    node.quarantine->record_closed_run(ContentHash{run.content},
                                       {.runner = runner,
                                        .connected = run.connected,
                                        .stage = stage,
                                        .reached_live_runner = was_heard || run.probed},
                                       now_);
  }

  [[nodiscard]] bool is_cut(std::size_t from, std::size_t to) const {
    const bool during_cut = scenario_.cut_zone && since_start() < std::chrono::seconds(12);
    return during_cut && (zone_of(from) == 1) != (zone_of(to) == 1);
  }

  void send_message(std::size_t from, std::size_t to, Message message) {
    if (is_partitioned(from) || is_partitioned(to) || is_cut(from, to)) return;
    if (random_.unit() < 0.02) return;
    message.due = now_ + milliseconds(5 + random_.below(15));
    message.to = to;
    messages_.push_back(std::move(message));
  }

  void send_to_zone(std::size_t from, const Message& message) {
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != from && zone_of(to) == zone_of(from)) send_message(from, to, message);
    }
  }

  void send_to_other_zones(std::size_t from, const Message& message) {
    for (std::size_t zone = 0; zone < 3; ++zone) {
      const std::size_t to = 3 * random_.below(rows()) + zone;
      if (zone != zone_of(from) && to < nodes_.size()) send_message(from, to, message);
    }
  }

  void send_notices(std::size_t from) {
    Quarantine& quarantine = *nodes_[from].quarantine;
    const auto notices = quarantine.next_zone_notices(now_);
    if (!notices.empty()) send_to_zone(from, {.notices = notices});
    const auto remote = quarantine.next_remote_notices(now_);
    if (!remote.empty()) send_to_other_zones(from, {.notices = remote, .forward = true});
    const bool refreshes = (since_start() / kStep + from) % (milliseconds(250) / kStep) == 0;
    if (!refreshes) return;
    const auto refresh = quarantine.next_refresh_notices(now_);
    if (refresh.empty()) return;
    const std::size_t neighbour = 3 * random_.below(rows()) + zone_of(from);
    if (neighbour != from && neighbour < nodes_.size())
      send_message(from, neighbour, {.notices = refresh});
    const std::size_t remote_node = random_.below(nodes_.size());
    const bool forward = zone_of(remote_node) != zone_of(from);
    if (forward) send_message(from, remote_node, {.notices = refresh, .forward = true});
  }

  /// The other nodes of its zone send a started node what they know, once they hear from it.
  void greet(std::size_t started) {
    for (std::size_t from = 0; from < nodes_.size(); ++from) {
      if (from == started || zone_of(from) != zone_of(started)) continue;
      const auto notices = nodes_[from].quarantine->next_refresh_notices(now_);
      if (!notices.empty()) send_message(from, started, {.notices = notices});
    }
  }

  void send_reports() {
    if (!scenario_.shared) return;
    for (std::size_t from = 0; from < nodes_.size(); ++from) {
      const auto reports = nodes_[from].quarantine->next_zone_reports(now_);
      if (!reports.empty()) send_to_zone(from, {.reports = reports});
      const auto remote = nodes_[from].quarantine->next_remote_reports(now_);
      if (!remote.empty()) send_to_other_zones(from, {.reports = remote, .forward = true});
      if (scenario_.notices) send_notices(from);
    }
  }

  void deliver() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](Message& message) {
      if (message.due > now_) return false;
      due.push_back(std::move(message));
      return true;
    });
    for (Message& message : due) {
      nodes_[message.to].quarantine->apply_reports(message.reports, now_);
      message.notices = nodes_[message.to].quarantine->apply_notices(message.notices, now_);
      if (std::exchange(message.forward, false)) send_to_zone(message.to, message);
    }
    for (const auto& [content, entry] : records_) {
      if (entry.first > now_ || delivered_.contains(content)) continue;
      delivered_.emplace(content, entry.second);
      // Partitioned nodes still reach the log.
      for (auto& node : nodes_) node.quarantine->apply_record(content, entry.second, now_, 0);
    }
  }

  FleetScenario scenario_;
  Random random_;
  TimePoint now_ = kStart;
  std::vector<Node> nodes_;
  std::vector<Runner> runners_;
  std::vector<Message> messages_;
  std::vector<Retry> retries_;
  std::map<std::uint64_t, LivePeriod> live_periods_;
  std::map<ContentHash, std::pair<TimePoint, QuarantineRecord>> records_;
  std::map<ContentHash, QuarantineRecord> delivered_;
  std::map<std::uint64_t, std::vector<TimePoint>> poison_sends_;
  std::map<std::uint64_t, TimePoint> third_exit_;
  std::map<std::uint64_t, std::size_t> exit_counts_;
  std::set<std::uint64_t> false_positives_;
  std::set<std::uint64_t> backed_off_;
  std::uint64_t next_id_ = 0;
  std::uint64_t next_innocent_ = 0;
  FleetOutcome result_;
};

/// Parameters: number of nodes and number of poison requests.
class QuarantineFleetTest : public testing::TestWithParam<std::pair<std::size_t, std::size_t>> {
 protected:
  static FleetScenario scenario() {
    return {
        .nodes = GetParam().first, .poison_requests = GetParam().second, .seed = GetParam().first};
  }
  static void check(const FleetScenario& scenario) {
    const FleetOutcome result = Fleet(scenario).simulate();
    std::cout << scenario.nodes << " nodes, " << scenario.poison_requests
              << " requests: " << result.ends << " ends, " << result.late_sends << " late sends, "
              << result.false_positives << " innocents kept away, " << result.backoffs
              << " backed off\n";
    EXPECT_LE(result.late_sends, kSendsAllowed);
    EXPECT_EQ(result.false_positives, 0U);
  }
};

TEST_P(QuarantineFleetTest, BoundsSendsOfPoisonRequests) {
  check(scenario());
}

TEST_P(QuarantineFleetTest, BoundsSendsWithAThirdOfTheNodesPartitioned) {
  FleetScenario scenario = this->scenario();
  scenario.partitioned = true;
  check(scenario);
}

TEST_P(QuarantineFleetTest, BoundsSendsAfterAThirdOfTheNodesRestarted) {
  FleetScenario scenario = this->scenario();
  scenario.restart = true;
  check(scenario);
}

TEST_P(QuarantineFleetTest, BoundsSendsWithPartitionAndRestart) {
  FleetScenario scenario = this->scenario();
  scenario.partitioned = true;
  scenario.restart = true;
  check(scenario);
}

/// Guards against exits of several starts of a runner that are counted as one while the directory
/// does not list the starts.
TEST_P(QuarantineFleetTest, BoundsSendsWhenRestartsAreNotListed) {
  FleetScenario scenario = this->scenario();
  scenario.unlisted_restarts = true;
  scenario.restart_time = milliseconds(50);
  scenario.runners = 2;
  check(scenario);
}

/// The store is away: it neither lists restarts nor holds records of quarantined requests.
class QuarantineWithoutStoreTest : public QuarantineFleetTest {
 protected:
  static FleetScenario scenario() {
    FleetScenario scenario = QuarantineFleetTest::scenario();
    scenario.unlisted_restarts = true;
    scenario.restart_time = milliseconds(50);
    scenario.runners = 3;
    scenario.log = false;
    scenario.notices = true;
    return scenario;
  }
};

/// Guards against quarantines that reach other nodes by the log alone.
TEST_P(QuarantineWithoutStoreTest, BoundsSends) {
  check(scenario());
}

TEST_P(QuarantineWithoutStoreTest, BoundsSendsWithAZoneCutOff) {
  FleetScenario scenario = this->scenario();
  scenario.cut_zone = true;
  check(scenario);
}

TEST_P(QuarantineWithoutStoreTest, BoundsSendsAfterAThirdOfTheNodesRestarted) {
  FleetScenario scenario = this->scenario();
  scenario.restart = true;
  check(scenario);
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuarantineWithoutStoreTest,
                         testing::Values(std::pair{3, 1}, std::pair{3, 3}, std::pair{11, 1},
                                         std::pair{11, 3}, std::pair{61, 1}, std::pair{61, 3},
                                         std::pair{295, 1}, std::pair{295, 3}));

INSTANTIATE_TEST_SUITE_P(Sizes, QuarantineFleetTest,
                         testing::Values(std::pair{3, 1}, std::pair{3, 10}, std::pair{11, 1},
                                         std::pair{11, 10}, std::pair{61, 1}, std::pair{61, 10},
                                         std::pair{295, 1}, std::pair{295, 10}));

TEST(QuarantineDesignsTest, RunnerExitsForOtherReasonsQuarantineNothing) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    EXPECT_EQ(Fleet({.nodes = 11, .poison_requests = 0, .seed = seed}).simulate().false_positives,
              0U)
        << seed;
  }
}

/// Guards against a poison request whose exits are never held against it because its runners exit
/// before they respond and nobody else hears from them.
class QuarantineSilentPoisonTest : public QuarantineFleetTest {
 protected:
  static FleetScenario scenario() {
    FleetScenario scenario = QuarantineFleetTest::scenario();
    scenario.silent_poison = true;
    scenario.notices = true;
    return scenario;
  }
};

TEST_P(QuarantineSilentPoisonTest, BoundsSends) {
  check(scenario());
}

TEST_P(QuarantineSilentPoisonTest, BoundsSendsWithoutOtherTraffic) {
  FleetScenario scenario = this->scenario();
  scenario.other_traffic = false;
  scenario.innocent_crashes = false;
  check(scenario);
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuarantineSilentPoisonTest,
                         testing::Values(std::pair{3, 1}, std::pair{3, 3}, std::pair{11, 1},
                                         std::pair{61, 1}, std::pair{61, 3}, std::pair{295, 1}));

/// Guards against poison requests that are always at the same runners, because they wait for the
/// few that are left, so that none of them is blamed for an exit.
class QuarantineSimultaneousPoisonTest : public QuarantineFleetTest {
 protected:
  void check_seeds(FleetScenario scenario, std::uint64_t first = 1, std::uint64_t last = 5) {
    scenario.silent_poison = true;
    scenario.notices = true;
    scenario.innocent_crashes = false;
    scenario.queue_time = std::chrono::seconds(2);
    scenario.silent_run_time = milliseconds(20);
    scenario.counts_shared_exits = true;
    scenario.persistent_callers = true;
    scenario.runners = std::max<std::size_t>(5, scenario.nodes);
    for (scenario.seed = first; scenario.seed <= last; ++scenario.seed) check(scenario);
  }
};

TEST_P(QuarantineSimultaneousPoisonTest, BoundsSends) {
  check_seeds(scenario());
}

TEST_P(QuarantineSimultaneousPoisonTest, BoundsSendsWithoutTheLog) {
  FleetScenario scenario = this->scenario();
  scenario.log = false;
  check_seeds(scenario);
}

/// Sound requests that are long at the same runners without a response are often there when one
/// exits.
TEST_P(QuarantineSimultaneousPoisonTest, BoundsSendsBesideSlowResponses) {
  FleetScenario scenario = this->scenario();
  scenario.max_response_delay = milliseconds(400);
  check_seeds(scenario);
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuarantineSimultaneousPoisonTest,
                         testing::Values(std::pair{1, 4}, std::pair{3, 1}, std::pair{3, 2},
                                         std::pair{3, 4}, std::pair{3, 8}, std::pair{11, 4},
                                         std::pair{61, 8}, std::pair{300, 8}));

/// The same with other random draws.
class QuarantineEightPoisonRequestsTest : public QuarantineSimultaneousPoisonTest {};

TEST_P(QuarantineEightPoisonRequestsTest, BoundsSends) {
  check_seeds(scenario(), 6, 15);
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuarantineEightPoisonRequestsTest,
                         testing::Values(std::pair{3, 8}));

/// Guards against runners that had exited before a request reached them and were held against it.
class QuarantineFlappingTest : public testing::TestWithParam<std::size_t> {
 protected:
  static void check(FleetScenario scenario) {
    scenario.poison_requests = 0;
    scenario.innocent_crashes = false;
    scenario.flapping = 0.3;
    scenario.notices = true;
    scenario.runners = std::max<std::size_t>(12, scenario.nodes);
    scenario.unlisted_restarts = true;
    std::size_t false_positives = 0;
    for (scenario.seed = 1; scenario.seed <= 5; ++scenario.seed) {
      false_positives += Fleet(scenario).simulate().false_positives;
    }
    EXPECT_EQ(false_positives, 0U);
  }
};

TEST_P(QuarantineFlappingTest, QuarantinesNoRequestThatReachesDeadRunners) {
  check({.nodes = GetParam()});
}

TEST_P(QuarantineFlappingTest, QuarantinesNoRequestThatReachesDeadRunnersWithoutTheLog) {
  check({.nodes = GetParam(), .log = false});
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuarantineFlappingTest, testing::Values(1, 9, 89));

TEST(QuarantineDesignsTest, WithoutTheLogPartitionedNodesExceedTheBound) {
  const FleetOutcome result =
      Fleet({.nodes = 61, .poison_requests = 1, .partitioned = true, .log = false}).simulate();
  EXPECT_GT(result.late_sends, kSendsAllowed);
}

TEST(QuarantineDesignsTest, LocalCountersCauseMoreRunnerExitsAndFalsePositives) {
  FleetOutcome alone;
  FleetOutcome shared;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const FleetOutcome one =
        Fleet({.nodes = 61, .poison_requests = 3, .shared = false, .seed = seed}).simulate();
    const FleetOutcome two =
        Fleet({.nodes = 61, .poison_requests = 3, .shared = true, .seed = seed}).simulate();
    alone.ends += one.ends;
    alone.false_positives += one.false_positives;
    shared.ends += two.ends;
    shared.false_positives += two.false_positives;
  }
  std::cout << "each for itself: " << alone.ends << " ends, " << alone.false_positives
            << " innocents kept away; shared: " << shared.ends << " ends, "
            << shared.false_positives << " innocents kept away\n";
  EXPECT_LT(shared.ends, alone.ends);
  EXPECT_EQ(shared.false_positives, 0U);
}

}  // namespace
}  // namespace stoathold
