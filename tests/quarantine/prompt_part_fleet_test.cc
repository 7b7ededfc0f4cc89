/// Tests the quarantine of prompt parts in a simulated fleet without sockets, and compares ways to
/// decide which part is guilty.
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
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kSimulatedTime = seconds(25);
constexpr TimePoint kStart{seconds(100)};
/// A node knows what all nodes in touch know after this time.
constexpr Duration kContactTime = seconds(3);
/// Requests with a guilty part may be sent this often later than that after its fifth exit.
constexpr std::size_t kExitsUntilDecision = 5;
constexpr std::size_t kLateSendsAllowed = 3;
constexpr std::size_t kSlots = 8;
constexpr Duration kRestartTime = seconds(2);
constexpr Duration kLogDelay = milliseconds(20);
constexpr Duration kEvaluationInterval = milliseconds(250);

constexpr PartHash kGuilty{1};
constexpr PartHash kOtherGuilty{2};
constexpr PartHash kCompanion{3};
constexpr PartHash kClientPart{4};
/// First parts of sound requests, of which the guilty ones share the first.
constexpr std::uint64_t kFirstPart = 10;
constexpr std::uint64_t kFirstParts = 4;
constexpr std::uint64_t kSecondPart = 20;
constexpr std::uint64_t kSecondParts = 10;
/// Parts that all requests of long prompts share, before and behind the others.
constexpr std::uint64_t kCommonPart = 100;
constexpr std::uint64_t kOwnPart = 10000;

/// Where the guilty part stands, and what stands beside it.
enum class GuiltyPrompt : std::uint8_t {
  kNone,
  kFirst,
  kMiddle,
  kNextToLast,
  kTwoParts,       ///< Two guilty parts at once, in different requests.
  kWithCompanion,  ///< Always followed by a part that few sound requests have.
  kRareFirstPart,  ///< Behind a first part that few sound requests have.
  kClientPart,     ///< No shared part is guilty, but the client's own last part.
};

/// How a part is found guilty.
enum class Design : std::uint8_t {
  kQuarantine,    ///< `Quarantine`.
  kLocalCounts,   ///< Each node counts the exits since its own last answer; three are enough.
  kSharedCounts,  ///< All nodes count all exits, whatever was answered; three are enough.
  kShareOfExits,  ///< All nodes know all exits and answers; half of the runs, at least three.
};

struct Scenario {
  std::size_t nodes = 3;
  GuiltyPrompt prompt = GuiltyPrompt::kMiddle;
  Design design = Design::kQuarantine;
  std::size_t runners = 0;      ///< 0: as many as nodes, but at least 12.
  bool innocent_exits = false;  ///< Every 2 s a fifth of the runners exits by itself.
  bool long_responses = false;  ///< 100 ms pass between the head and the first event.
  /// Runners exit before any byte of a response, so waiting runs are evidence as well.
  bool silent = false;
  bool partitioned = false;        ///< For 12 s a third of the nodes hears from no other node.
  bool restart = false;            ///< In second 8 all nodes restart.
  std::uint64_t tenants = 1;       ///< Tenants of the requests with the guilty part.
  bool cleared_at_10s = false;     ///< In second 10 the part becomes harmless.
  std::uint64_t common_parts = 0;  ///< Parts that all prompts share, half of them in front.
  std::uint64_t seed = 1;
};

struct Outcome {
  std::size_t exits = 0;       ///< Runner exits caused by guilty parts.
  std::size_t late_sends = 0;  ///< Of the guilty part with the most of them.
  std::size_t sound_sent =
      0;  ///< Sound requests, from twice the contact time after the fifth exit.
  std::size_t sound_refused = 0;        ///< Those of them that were refused because of a part.
  std::size_t sound_refused_early = 0;  ///< Sound requests refused before that.
};

struct Request {
  std::uint64_t content = 0;
  std::uint64_t tenant = 0;
  std::vector<PartHash> parts;
  PartHash guilty{};  ///< The part that makes runners exit, if any.
  std::size_t node = 0;
  int attempts = 0;
};

class PartFleet {
 public:
  explicit PartFleet(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    nodes_.resize(scenario.nodes);
    for (std::size_t i = 0; i < scenario.nodes; ++i) start_node(i);
    runners_.resize(scenario.runners > 0 ? scenario.runners
                                         : std::max<std::size_t>(12, scenario.nodes));
    for (auto& runner : runners_) runner.id = ++next_id_;
  }

  Outcome simulate() {
    for (now_ = kStart; now_ < kStart + kSimulatedTime; now_ += kStep) step();
    return outcome_;
  }

 private:
  struct Node {
    std::unique_ptr<Quarantine> quarantine;
    std::map<PartHash, int> exits;  ///< For `kLocalCounts`.
  };
  struct Run {
    Request request;
    TimePoint connected{};
    TimePoint begins{};
    TimePoint delivers{};
    TimePoint ends{};
    bool delivered = false;
  };
  struct Runner {
    std::uint64_t id = 0;
    std::vector<Run> runs;
    TimePoint up_at{};
  };
  struct Message {
    TimePoint due{};
    std::size_t to = 0;
    PromptPartReports parts;
    std::vector<QuarantineNotice> notices;
    bool forward = false;
  };
  /// A change of the log that all nodes read later. Without a record it is a lift.
  struct LogEntry {
    TimePoint due{};
    ContentHash key{};
    std::optional<QuarantineRecord> record;
    std::uint64_t position = 0;
  };
  struct GuiltyPartCounts {
    std::size_t exits = 0;
    TimePoint fifth_exit{};
    std::size_t late_sends = 0;
  };
  struct Counts {
    std::size_t exits = 0;
    std::size_t served = 0;
  };

  void start_node(std::size_t index) {
    Node& node = nodes_[index];
    node.exits.clear();
    node.quarantine = std::make_unique<Quarantine>([](std::uint64_t) { return std::nullopt; });
    Quarantine& quarantine = *node.quarantine;
    quarantine.set_quarantined_handler([this, &quarantine](ContentHash key, std::size_t) {
      if (!records_.contains(key)) append(key, quarantine.make_record(key, now_, time_ms()));
    });
    quarantine.set_progress_handler([this](ContentHash key) {
      if (records_.contains(key)) append(key, std::nullopt);
    });
    for (const auto& [key, record] : records_)
      quarantine.apply_record(key, record, now_, time_ms());
  }

  [[nodiscard]] std::int64_t time_ms() const {
    return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
  }
  void append(ContentHash key, std::optional<QuarantineRecord> record) {
    if (record) records_[key] = *record;
    if (!record) records_.erase(key);
    log_.push_back({now_ + kLogDelay, key, record, ++position_});
  }

  static std::size_t zone_of(std::size_t node) { return node % 3; }
  [[nodiscard]] Duration since_start() const { return now_ - kStart; }
  [[nodiscard]] bool is_partitioned(std::size_t node) const {
    return scenario_.partitioned && since_start() < seconds(12) && zone_of(node) == 1;
  }
  [[nodiscard]] bool is_harmful() const {
    return !scenario_.cleared_at_10s || since_start() < seconds(10);
  }

  void step() {
    if (scenario_.restart && since_start() == seconds(8)) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
    }
    read_log();
    deliver();
    for (auto& runner : runners_) advance(runner);
    if (scenario_.innocent_exits && since_start() % seconds(2) == Duration{0}) {
      for (auto& runner : runners_) {
        if (random_.unit() < 0.2) exit_runner(runner);
      }
    }
    arrive();
    if (since_start() % kEvaluationInterval == Duration{0}) {
      for (auto& node : nodes_) node.quarantine->evaluate_parts(now_);
    }
    send_reports();
  }

  Request sound_request() {
    Request request{.content = ++next_content_, .node = random_.below(nodes_.size())};
    std::uint64_t first = kFirstPart + random_.below(kFirstParts);
    const bool rare = scenario_.prompt == GuiltyPrompt::kRareFirstPart;
    if (rare && first == kFirstPart && random_.unit() < 0.95) ++first;
    request.parts.push_back(PartHash{first});
    request.parts.push_back(PartHash{kSecondPart + random_.below(kSecondParts)});
    const bool has_companion = random_.unit() < 0.02;
    if (scenario_.prompt == GuiltyPrompt::kWithCompanion && has_companion) {
      request.parts.push_back(kCompanion);
    }
    request.parts.push_back(PartHash{kOwnPart + request.content});
    add_common_parts(request);
    return request;
  }

  void add_common_parts(Request& request) const {
    const std::uint64_t half = scenario_.common_parts / 2;
    std::vector<PartHash> front;
    std::vector<PartHash> back;
    for (std::uint64_t i = 0; i < half; ++i) front.push_back(PartHash{kCommonPart + i});
    for (std::uint64_t i = 0; i < half; ++i) back.push_back(PartHash{kCommonPart + half + i});
    request.parts.insert(request.parts.end() - 1, back.begin(), back.end());
    // The first part stays in front, by which sound requests are counted.
    request.parts.insert(request.parts.begin() + 1, front.begin(), front.end());
  }

  Request guilty_request() {
    Request request{.content = ++next_content_,
                    .tenant = random_.below(scenario_.tenants),
                    .guilty = kGuilty,
                    .node = random_.below(nodes_.size())};
    const PartHash first{kFirstPart};
    const PartHash second{kSecondPart + random_.below(kSecondParts)};
    const PartHash own{kOwnPart + request.content};
    switch (scenario_.prompt) {
      case GuiltyPrompt::kFirst:
        request.parts = {kGuilty, second, own};
        break;
      case GuiltyPrompt::kMiddle:
        request.parts = {first, kGuilty, second, own};
        break;
      case GuiltyPrompt::kTwoParts:
        if (random_.unit() < 0.5) request.guilty = kOtherGuilty;
        request.parts = {first, request.guilty, own};
        break;
      case GuiltyPrompt::kWithCompanion:
        request.parts = {first, kGuilty, kCompanion, own};
        break;
      case GuiltyPrompt::kClientPart:
        request.parts = {first, second, kClientPart};
        break;
      default:
        request.parts = {first, second, kGuilty, own};
    }
    add_common_parts(request);
    return request;
  }

  void arrive() {
    const double arrivals = 0.3 * kSlots * static_cast<double>(runners_.size()) * 0.005 / 0.3;
    for (double left = arrivals; left > random_.unit(); left -= 1) send(sound_request());
    const bool starts = since_start() > seconds(2);
    if (scenario_.prompt == GuiltyPrompt::kNone || !starts) return;
    if (random_.unit() < 0.08) send(guilty_request());
  }

  [[nodiscard]] bool is_suspect(const Request& request, PartHash part) {
    const bool is_own = part == request.parts.back();
    if (scenario_.design == Design::kLocalCounts) return nodes_[request.node].exits[part] >= 3;
    const Counts& counts = shared_[part];
    if (scenario_.design == Design::kSharedCounts) return counts.exits >= 3 && !is_own;
    return counts.exits >= 3 && counts.exits >= counts.served;
  }

  /// Returns the keys of the quarantines that apply to a request.
  std::vector<ContentHash> quarantined_keys(const Request& request) {
    std::vector<ContentHash> found;
    for (const PartHash part : request.parts) {
      if (scenario_.design != Design::kQuarantine) {
        if (is_suspect(request, part)) found.push_back(part_key(part));
        continue;
      }
      for (const ContentHash key : {part_key(part), tenant_part_key(part, request.tenant)}) {
        if (nodes_[request.node].quarantine->contains(key, now_)) found.push_back(key);
      }
    }
    return found;
  }

  /// Claims a trial of each of these quarantines, if all are due.
  bool claim_trial(const Request& request, const std::vector<ContentHash>& keys) {
    if (scenario_.design != Design::kQuarantine) return false;
    const Quarantine& quarantine = *nodes_[request.node].quarantine;
    for (const ContentHash key : keys) {
      if (!quarantine.is_trial_due(key, now_, QuarantineScope::kPromptPart)) return false;
    }
    for (const ContentHash key : keys) {
      const QuarantineRecord record = quarantine.make_trial_record(key, now_, time_ms());
      const auto written = records_.find(key);
      if (written == records_.end() || written->second.trials + 1 != record.trials) return false;
      append(key, record);
    }
    return true;
  }

  void count_sound(const Request& request, bool refused) {
    const bool same_first = request.parts[0] == PartHash{kFirstPart};
    if (is_guilty(request) || !same_first || request.attempts > 0) return;
    const bool settled =
        outcome_.exits >= kExitsUntilDecision && now_ > last_fifth_exit_ + 2 * kContactTime;
    if (!settled) {
      outcome_.sound_refused_early += refused ? 1 : 0;
      return;
    }
    ++outcome_.sound_sent;
    outcome_.sound_refused += refused ? 1 : 0;
  }

  void send(Request request) {
    const std::vector<ContentHash> keys = quarantined_keys(request);
    const bool refused = !keys.empty() && !claim_trial(request, keys);
    count_sound(request, refused);
    if (refused) return;
    std::vector<Runner*> candidates;
    for (auto& runner : runners_) {
      if (runner.up_at <= now_ && runner.runs.size() < kSlots) candidates.push_back(&runner);
    }
    if (candidates.empty()) return;
    Runner& runner = *candidates[random_.below(candidates.size())];
    if (is_guilty(request) && !is_partitioned(request.node)) count_late_send(request.guilty);
    ++request.attempts;
    Run run{.request = std::move(request), .connected = now_};
    run.begins = now_ + milliseconds(5 + random_.below(60));
    const bool crashes = is_guilty(run.request) && is_harmful();
    run.delivers = run.begins + milliseconds(scenario_.long_responses ? 100 : 1);
    if (crashes) run.delivers = TimePoint::max();
    run.ends = run.begins + milliseconds(crashes ? 60 : 300);
    runner.runs.push_back(std::move(run));
  }

  void advance(Runner& runner) {
    bool exits = false;
    for (Run& run : runner.runs) {
      if (!run.delivered && now_ >= run.delivers) {
        run.delivered = true;
        record_served(run.request);
      }
      const bool crashes = run.delivers == TimePoint::max() && now_ >= run.ends;
      if (crashes) count_exit(run.request.guilty);
      exits = exits || crashes;
    }
    if (exits) {
      exit_runner(runner);
      return;
    }
    std::erase_if(runner.runs, [this](const Run& run) { return now_ >= run.ends; });
  }

  static bool is_guilty(const Request& request) { return request.guilty != PartHash{}; }

  void count_exit(PartHash guilty) {
    ++outcome_.exits;
    GuiltyPartCounts& counts = guilty_[guilty];
    if (++counts.exits != kExitsUntilDecision) return;
    counts.fifth_exit = now_;
    last_fifth_exit_ = now_;
  }

  void count_late_send(PartHash guilty) {
    GuiltyPartCounts& counts = guilty_[guilty];
    const bool decided = counts.exits >= kExitsUntilDecision;
    if (!decided || !is_harmful() || now_ <= counts.fifth_exit + kContactTime) return;
    outcome_.late_sends = std::max(outcome_.late_sends, ++counts.late_sends);
  }

  void record_served(const Request& request) {
    Node& node = nodes_[request.node];
    for (const PartHash part : request.parts) {
      node.exits.erase(part);
      if (shared_.contains(part)) ++shared_[part].served;
    }
    if (node.quarantine->watches_parts()) {
      node.quarantine->record_served_parts(request.parts, request.tenant, now_);
    }
  }

  void exit_runner(Runner& runner) {
    if (runner.up_at > now_) return;
    const std::vector<Run> runs = std::exchange(runner.runs, {});
    const std::uint64_t id = std::exchange(runner.id, ++next_id_);
    runner.up_at = now_ + kRestartTime;
    for (const Run& run : runs) {
      if (run.delivered) record_served(run.request);
      const bool counts = now_ >= run.begins || scenario_.silent;
      if (!run.delivered && counts) record_exit(run.request, id);
    }
    for (const Run& run : runs) {
      if (!run.delivered && run.request.attempts < 2) send(run.request);
    }
  }

  void record_exit(const Request& request, std::uint64_t runner) {
    Node& node = nodes_[request.node];
    for (const PartHash part : request.parts) {
      ++node.exits[part];
      ++shared_[part].exits;
    }
    if (scenario_.design != Design::kQuarantine) return;
    node.quarantine->record_part_exit({.start = {runner, 0},
                                       .content = ContentHash{request.content},
                                       .tenant = request.tenant,
                                       .parts = request.parts,
                                       .at = now_});
  }

  void send_message(std::size_t from, std::size_t to, Message message) {
    if (is_partitioned(from) || is_partitioned(to) || random_.unit() < 0.02) return;
    message.due = now_ + milliseconds(5 + random_.below(15));
    message.to = to;
    messages_.push_back(std::move(message));
  }
  void send_to_zone(std::size_t from, const Message& message) {
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != from && zone_of(to) == zone_of(from)) send_message(from, to, message);
    }
  }
  void send_to_other_zones(std::size_t from, Message message) {
    message.forward = true;
    const std::size_t rows = std::max<std::size_t>(1, nodes_.size() / 3);
    for (std::size_t zone = 0; zone < 3; ++zone) {
      const std::size_t to = 3 * random_.below(rows) + zone;
      if (zone != zone_of(from) && to < nodes_.size()) send_message(from, to, message);
    }
  }
  void send_reports() {
    for (std::size_t from = 0; from < nodes_.size(); ++from) {
      Quarantine& quarantine = *nodes_[from].quarantine;
      Message zone{.parts = quarantine.next_zone_part_reports(now_),
                   .notices = quarantine.next_zone_notices(now_)};
      if (!zone.parts.empty() || !zone.notices.empty()) send_to_zone(from, zone);
      Message remote{.parts = quarantine.next_remote_part_reports(now_),
                     .notices = quarantine.next_remote_notices(now_)};
      if (!remote.parts.empty() || !remote.notices.empty()) send_to_other_zones(from, remote);
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
      nodes_[message.to].quarantine->apply_part_reports(message.parts, now_);
      message.notices = nodes_[message.to].quarantine->apply_notices(message.notices, now_);
      if (std::exchange(message.forward, false)) send_to_zone(message.to, message);
    }
  }

  void read_log() {
    // Partitioned nodes still reach the log.
    for (; read_ < log_.size() && log_[read_].due <= now_; ++read_) {
      const LogEntry& entry = log_[read_];
      for (auto& node : nodes_) {
        if (entry.record) {
          node.quarantine->apply_record(entry.key, *entry.record, now_, time_ms());
        } else {
          node.quarantine->lift(entry.key, {.position = entry.position, .at = now_});
        }
      }
    }
  }

  Scenario scenario_;
  Random random_;
  TimePoint now_ = kStart;
  std::vector<Node> nodes_;
  std::vector<Runner> runners_;
  std::vector<Message> messages_;
  std::map<ContentHash, QuarantineRecord> records_;
  std::vector<LogEntry> log_;
  std::size_t read_ = 0;
  std::uint64_t position_ = 0;
  std::map<PartHash, Counts> shared_;
  std::uint64_t next_id_ = 0;
  std::uint64_t next_content_ = 0;
  std::map<PartHash, GuiltyPartCounts> guilty_;
  TimePoint last_fifth_exit_{};
  Outcome outcome_;
};

std::ostream& operator<<(std::ostream& stream, const Outcome& outcome) {
  return stream << outcome.exits << " exits, " << outcome.late_sends << " late sends, "
                << outcome.sound_refused << " of " << outcome.sound_sent
                << " sound requests refused, " << outcome.sound_refused_early << " before";
}

/// Parameters: number of nodes, prompt of the requests that crash runners.
class PromptPartFleetTest : public testing::TestWithParam<std::tuple<std::size_t, GuiltyPrompt>> {
 protected:
  static Scenario scenario() {
    return {.nodes = std::get<0>(GetParam()), .prompt = std::get<1>(GetParam())};
  }
  static void check(Scenario scenario) {
    for (scenario.seed = 1; scenario.seed <= 3; ++scenario.seed) {
      const Outcome outcome = PartFleet(scenario).simulate();
      std::cout << scenario.nodes << " nodes, seed " << scenario.seed << ": " << outcome << "\n";
      EXPECT_LE(outcome.late_sends, kLateSendsAllowed);
      EXPECT_LE(2 * outcome.sound_refused, outcome.sound_sent);
    }
  }
};

TEST_P(PromptPartFleetTest, BoundsSendsAndServesSoundRequests) {
  check(scenario());
}

TEST_P(PromptPartFleetTest, AlsoWithRunnersThatExitByThemselves) {
  Scenario scenario = this->scenario();
  scenario.innocent_exits = true;
  check(scenario);
}

TEST_P(PromptPartFleetTest, AlsoWithAThirdOfTheNodesPartitioned) {
  Scenario scenario = this->scenario();
  scenario.partitioned = true;
  check(scenario);
}

TEST_P(PromptPartFleetTest, AlsoAfterARestartOfAllNodes) {
  Scenario scenario = this->scenario();
  scenario.restart = true;
  check(scenario);
}

// Guards against guilty parts in the middle of a long prompt, which no node looks at.
TEST_P(PromptPartFleetTest, AlsoInPromptsOfFortyParts) {
  Scenario scenario = this->scenario();
  scenario.common_parts = 38;
  check(scenario);
}

TEST_P(PromptPartFleetTest, AlsoWithRequestsOfSeveralTenants) {
  Scenario scenario = this->scenario();
  scenario.tenants = 4;
  check(scenario);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, PromptPartFleetTest,
    testing::Combine(testing::Values(1, 11, 89, 300),
                     testing::Values(GuiltyPrompt::kFirst, GuiltyPrompt::kMiddle,
                                     GuiltyPrompt::kNextToLast, GuiltyPrompt::kTwoParts,
                                     GuiltyPrompt::kWithCompanion, GuiltyPrompt::kRareFirstPart,
                                     GuiltyPrompt::kClientPart)));

/// Guards against guilty parts that are never blamed because runners exit before they respond.
class SilentPromptPartFleetTest : public PromptPartFleetTest {
 protected:
  static Scenario scenario() {
    Scenario scenario = PromptPartFleetTest::scenario();
    scenario.silent = true;
    return scenario;
  }
};

TEST_P(SilentPromptPartFleetTest, BoundsSendsAndServesSoundRequests) {
  check(scenario());
}

TEST_P(SilentPromptPartFleetTest, AlsoAfterARestartOfAllNodes) {
  Scenario scenario = this->scenario();
  scenario.restart = true;
  check(scenario);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, SilentPromptPartFleetTest,
    testing::Combine(testing::Values(1, 11, 89, 300),
                     testing::Values(GuiltyPrompt::kFirst, GuiltyPrompt::kMiddle,
                                     GuiltyPrompt::kNextToLast, GuiltyPrompt::kTwoParts,
                                     GuiltyPrompt::kWithCompanion, GuiltyPrompt::kRareFirstPart,
                                     GuiltyPrompt::kClientPart)));

TEST(PromptPartDesignsTest, LongPromptsAreBoundedToo) {
  const Outcome outcome = PartFleet({.nodes = 11, .common_parts = 400}).simulate();
  std::cout << "prompts of 403 parts: " << outcome << "\n";
  EXPECT_LE(outcome.late_sends, kLateSendsAllowed);
  EXPECT_LE(2 * outcome.sound_refused, outcome.sound_sent);
}

TEST(PromptPartDesignsTest, RunnersThatExitByThemselvesHaveNoPartRefused) {
  for (const std::size_t nodes : {1, 11, 89}) {
    for (const bool long_responses : {false, true}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Outcome outcome = PartFleet({.nodes = nodes,
                                           .prompt = GuiltyPrompt::kNone,
                                           .innocent_exits = true,
                                           .long_responses = long_responses,
                                           .seed = seed})
                                    .simulate();
        EXPECT_EQ(outcome.sound_refused_early, 0U) << nodes << " nodes, seed " << seed;
      }
    }
  }
}

TEST(PromptPartDesignsTest, APartThatBecomesHarmlessIsServedAgain) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const Outcome outcome =
        PartFleet(
            {.nodes = 11, .prompt = GuiltyPrompt::kMiddle, .cleared_at_10s = true, .seed = seed})
            .simulate();
    EXPECT_LE(outcome.late_sends, kLateSendsAllowed);
  }
}

TEST(PromptPartDesignsTest, OtherDesignsCrashMoreRunnersOrRefuseSoundRequests) {
  const std::map<Design, const char*> names{{Design::kQuarantine, "quarantine"},
                                            {Design::kLocalCounts, "each node for itself"},
                                            {Design::kSharedCounts, "counted without answers"},
                                            {Design::kShareOfExits, "share of exits"}};
  std::map<Design, Outcome> sums;
  for (const auto& [design, name] : names) {
    for (const std::size_t nodes : {1, 11, 89, 300}) {
      for (const GuiltyPrompt prompt :
           {GuiltyPrompt::kFirst, GuiltyPrompt::kMiddle, GuiltyPrompt::kTwoParts}) {
        const Outcome outcome = PartFleet({.nodes = nodes,
                                           .prompt = prompt,
                                           .design = design,
                                           .innocent_exits = true,
                                           .seed = 1})
                                    .simulate();
        Outcome& sum = sums[design];
        sum.exits += outcome.exits;
        sum.late_sends = std::max(sum.late_sends, outcome.late_sends);
        sum.sound_sent += outcome.sound_sent;
        sum.sound_refused += outcome.sound_refused;
        sum.sound_refused_early += outcome.sound_refused_early;
      }
    }
    std::cout << name << ": " << sums[design] << "\n";
  }
  EXPECT_LE(sums[Design::kQuarantine].late_sends, kLateSendsAllowed);
  EXPECT_GT(sums[Design::kLocalCounts].late_sends, kLateSendsAllowed);
  EXPECT_GT(sums[Design::kSharedCounts].sound_refused, sums[Design::kSharedCounts].sound_sent / 2);
}

}  // namespace
}  // namespace stoathold
