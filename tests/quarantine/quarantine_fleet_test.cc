/// A fleet of nodes without sockets: requests that end their runners, runners that end for reasons
/// of their own, nodes that are cut off or begin anew. Holds the bound on what still gets through,
/// and that no innocent request is kept away; and what a node could do by itself, for comparison.
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
constexpr Duration kLength = std::chrono::seconds(20);
/// Sends that are allowed under one request later than this after its third end.
constexpr Duration kContactTime = std::chrono::seconds(3);
constexpr std::size_t kSendsAllowed = 3;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint64_t kFirstInnocent = 1000;

/// How a fleet is played.
struct FleetPlan {
  std::size_t nodes = 3;
  std::size_t deadly = 1;        ///< Different requests that end their runners.
  bool innocent_crashes = true;  ///< Runners also end for reasons of their own, many at once.
  bool cut = false;              ///< For 12 seconds a third of the nodes hears no other node.
  bool restart = false;          ///< In second 6 a third of the nodes begins anew.
  bool shared = true;            ///< Nodes share ends and records; else each counts for itself.
  bool log = true;               ///< The log holds records of what is kept away.
  std::uint64_t seed = 1;
};

/// What came of it.
struct FleetResult {
  std::size_t ends = 0;        ///< Of runners, under requests that end them.
  std::size_t late_sends = 0;  ///< The most sends under one request later than allowed.
  std::size_t wronged = 0;     ///< Innocent requests that were kept from runners.
};

/// A design in which each node counts the ends of each request by itself.
class OwnCount {
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
  explicit Fleet(const FleetPlan& plan) : plan_(plan), random_(plan.seed) {
    for (std::size_t i = 0; i < plan.nodes; ++i) start_node(i);
    runners_.resize(std::max<std::size_t>(4, plan.nodes));
    for (auto& runner : runners_) runner.id = ++next_id_;
  }

  FleetResult play() {
    for (now_ = kStart; now_ < kStart + kLength; now_ += kStep) step();
    for (const auto& [content, third] : third_end_) {
      std::size_t late = 0;
      for (const TimePoint sent : deadly_sends_[content])
        late += sent > third + kContactTime ? 1 : 0;
      result_.late_sends = std::max(result_.late_sends, late);
    }
    result_.wronged = wronged_.size();
    return result_;
  }

 private:
  struct Node {
    std::unique_ptr<Quarantine> quarantine;
    OwnCount own;
  };
  struct Run {
    std::uint64_t content = 0;
    std::size_t node = 0;
    TimePoint begins{};
    TimePoint delivers{};
    TimePoint ends{};
    int attempt = 1;  ///< Runs of this request so far, over both of its client's attempts.
  };
  struct Runner {
    std::uint64_t id = 0;
    std::vector<Run> runs;
    TimePoint up_at{};
  };
  struct Message {
    TimePoint due{};
    std::size_t to = 0;
    std::vector<EndReport> reports;
    bool pass_on = false;
  };

  static constexpr TimePoint kStart{std::chrono::seconds(100)};

  void start_node(std::size_t index) {
    if (index >= nodes_.size()) nodes_.resize(index + 1);
    Node& node = nodes_[index];
    node.own = {};
    node.quarantine =
        std::make_unique<Quarantine>([this](std::uint64_t runner) -> std::optional<TimePoint> {
          const auto found = heard_.find(runner);
          return found == heard_.end() ? std::nullopt : std::optional(found->second);
        });
    node.quarantine->set_quarantined_handler([this](ContentHash content, std::size_t ends) {
      const QuarantineRecord record{0, static_cast<std::uint32_t>(ends)};
      if (plan_.log) records_.emplace(content, std::pair(now_ + milliseconds(20), record));
    });
    for (const auto& [content, record] : delivered_) {
      node.quarantine->take_record(content, record, now_, 0);
    }
  }

  static std::size_t zone_of(std::size_t node) { return node % 3; }
  [[nodiscard]] Duration since_start() const { return now_ - kStart; }
  [[nodiscard]] bool is_cut(std::size_t node) const {
    const bool lasts = since_start() < std::chrono::seconds(12);
    return plan_.cut && lasts && node % 3 == 1;
  }
  static bool is_deadly(std::uint64_t content) { return content < kFirstInnocent; }

  void step() {
    if (plan_.restart && since_start() == std::chrono::seconds(6)) {
      for (std::size_t i = 0; i < nodes_.size(); i += 3) start_node(i);
    }
    deliver();
    for (auto& runner : runners_) advance(runner);
    if (plan_.innocent_crashes && since_start() % milliseconds(400) == Duration{0}) {
      for (auto& runner : runners_) {
        if (random_.unit() < 0.2) end_runner(runner);
      }
    }
    arrive();
    tell();
  }

  void arrive() {
    // Half of the places are taken: each run lasts some 300 ms.
    const double innocents = 0.5 * kSlots * static_cast<double>(runners_.size()) * 0.005 / 0.3;
    for (double left = innocents; left > random_.unit(); left -= 1) {
      send({.content = kFirstInnocent + next_innocent_++, .node = random_.below(nodes_.size())});
    }
    for (std::uint64_t content = 1; content <= plan_.deadly; ++content) {
      if (random_.unit() < 0.06) send({.content = content, .node = random_.below(nodes_.size())});
    }
  }

  [[nodiscard]] bool kept_away(const Run& run) const {
    const Node& node = nodes_[run.node];
    const ContentHash content{run.content};
    return plan_.shared ? node.quarantine->holds(content, now_) : node.own.holds(content);
  }

  void send(Run run) {
    if (kept_away(run)) {
      if (!is_deadly(run.content)) wronged_.insert(run.content);
      return;
    }
    std::vector<Runner*> up;
    for (auto& runner : runners_) {
      if (runner.up_at <= now_ && runner.runs.size() < kSlots) up.push_back(&runner);
    }
    if (up.empty()) return;
    Runner& runner = *up[random_.below(up.size())];
    run.begins = now_ + milliseconds(5 + random_.below(60));
    run.delivers = run.begins + milliseconds(is_deadly(run.content) ? 1000 : 1);
    run.ends = run.begins + milliseconds(is_deadly(run.content) ? 60 : 300);
    if (is_deadly(run.content)) deadly_sends_[run.content].push_back(now_);
    runner.runs.push_back(run);
  }

  void advance(Runner& runner) {
    bool ends = false;
    std::vector<Run> done;
    for (const Run& run : runner.runs) {
      if (!is_deadly(run.content) && now_ >= run.begins) heard_[runner.id] = now_;
      if (now_ < run.ends) continue;
      if (is_deadly(run.content)) ends = true;
      if (!is_deadly(run.content)) done.push_back(run);
    }
    std::erase_if(runner.runs,
                  [&](const Run& run) { return !is_deadly(run.content) && now_ >= run.ends; });
    for (const Run& run : done) {
      nodes_[run.node].quarantine->note_progress(ContentHash{run.content}, now_);
    }
    if (ends) end_runner(runner);
  }

  void end_runner(Runner& runner) {
    if (runner.up_at > now_) return;
    const std::vector<Run> runs = std::exchange(runner.runs, {});
    const std::uint64_t id = std::exchange(runner.id, ++next_id_);
    runner.up_at = now_ + milliseconds(1200);
    std::set<std::uint64_t> counted;
    for (const Run& run : runs) {
      if (is_deadly(run.content) && now_ >= run.ends && counted.insert(run.content).second) {
        ++result_.ends;
        if (++ends_of_[run.content] == 3) third_end_[run.content] = now_;
      }
      note_end(run, id);
    }
    for (Run run : runs) {
      if (run.attempt++ >= 4) continue;
      if (run.attempt == 3) run.node = random_.below(nodes_.size());
      send(run);
    }
  }

  void note_end(const Run& run, std::uint64_t runner) {
    Node& node = nodes_[run.node];
    node.own.note_end(ContentHash{run.content});
    if (now_ >= run.delivers) return;
    const RunStage stage = now_ >= run.begins ? RunStage::kBegun : RunStage::kWaiting;
    node.quarantine->note_end({ContentHash{run.content}, runner, stage, now_});
  }

  void post(std::size_t from, std::size_t to, const std::vector<EndReport>& reports, bool pass_on) {
    if (is_cut(from) || is_cut(to) || random_.unit() < 0.02) return;
    messages_.push_back({now_ + milliseconds(5 + random_.below(15)), to, reports, pass_on});
  }

  void tell_zone(std::size_t from, const std::vector<EndReport>& reports) {
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != from && zone_of(to) == zone_of(from)) post(from, to, reports, false);
    }
  }

  void tell() {
    if (!plan_.shared) return;
    for (std::size_t from = 0; from < nodes_.size(); ++from) {
      const auto reports = nodes_[from].quarantine->take_zone_reports(now_);
      if (!reports.empty()) tell_zone(from, reports);
      const auto remote = nodes_[from].quarantine->take_remote_reports(now_);
      if (remote.empty()) continue;
      for (std::size_t zone = 0; zone < 3; ++zone) {
        const std::size_t to = 3 * random_.below(nodes_.size() / 3) + zone;
        if (zone != zone_of(from) && to < nodes_.size()) post(from, to, remote, true);
      }
    }
  }

  void deliver() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](Message& message) {
      if (message.due > now_) return false;
      due.push_back(std::move(message));
      return true;
    });
    for (const Message& message : due) {
      nodes_[message.to].quarantine->take_reports(message.reports, now_);
      if (message.pass_on) tell_zone(message.to, message.reports);
    }
    for (const auto& [content, entry] : records_) {
      if (entry.first > now_ || delivered_.contains(content)) continue;
      delivered_.emplace(content, entry.second);
      // Nodes that are cut off from the others still reach the log.
      for (auto& node : nodes_) node.quarantine->take_record(content, entry.second, now_, 0);
    }
  }

  FleetPlan plan_;
  Random random_;
  TimePoint now_ = kStart;
  std::vector<Node> nodes_;
  std::vector<Runner> runners_;
  std::vector<Message> messages_;
  std::map<std::uint64_t, TimePoint> heard_;
  std::map<ContentHash, std::pair<TimePoint, QuarantineRecord>> records_;
  std::map<ContentHash, QuarantineRecord> delivered_;
  std::map<std::uint64_t, std::vector<TimePoint>> deadly_sends_;
  std::map<std::uint64_t, TimePoint> third_end_;
  std::map<std::uint64_t, std::size_t> ends_of_;
  std::set<std::uint64_t> wronged_;
  std::uint64_t next_id_ = 0;
  std::uint64_t next_innocent_ = 0;
  FleetResult result_;
};

/// Nodes, and different requests that end their runners.
class QuarantineFleetTest : public testing::TestWithParam<std::pair<std::size_t, std::size_t>> {
 protected:
  static FleetPlan plan() {
    return {.nodes = GetParam().first, .deadly = GetParam().second, .seed = GetParam().first};
  }
  static void check(const FleetPlan& plan) {
    const FleetResult result = Fleet(plan).play();
    std::cout << plan.nodes << " nodes, " << plan.deadly << " requests: " << result.ends
              << " ends, " << result.late_sends << " late sends, " << result.wronged
              << " innocents kept away\n";
    EXPECT_LE(result.late_sends, kSendsAllowed);
    EXPECT_EQ(result.wronged, 0U);
  }
};

TEST_P(QuarantineFleetTest, TheBoundHolds) {
  check(plan());
}

TEST_P(QuarantineFleetTest, TheBoundHoldsWhileAThirdOfTheNodesIsCutOff) {
  FleetPlan plan = this->plan();
  plan.cut = true;
  check(plan);
}

TEST_P(QuarantineFleetTest, TheBoundHoldsWhenAThirdOfTheNodesHasJustBegun) {
  FleetPlan plan = this->plan();
  plan.restart = true;
  check(plan);
}

TEST_P(QuarantineFleetTest, TheBoundHoldsWithBoth) {
  FleetPlan plan = this->plan();
  plan.cut = true;
  plan.restart = true;
  check(plan);
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuarantineFleetTest,
                         testing::Values(std::pair{3, 1}, std::pair{3, 10}, std::pair{11, 1},
                                         std::pair{11, 10}, std::pair{61, 1}, std::pair{61, 10},
                                         std::pair{295, 1}, std::pair{295, 10}));

TEST(QuarantineDesignsTest, WhenRunnersEndForOtherReasonsNoRequestIsKeptAway) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    EXPECT_EQ(Fleet({.nodes = 11, .deadly = 0, .seed = seed}).play().wronged, 0U) << seed;
  }
}

TEST(QuarantineDesignsTest, WithoutTheLogNodesThatAreCutOffBreakTheBound) {
  const FleetResult result = Fleet({.nodes = 61, .deadly = 1, .cut = true, .log = false}).play();
  EXPECT_GT(result.late_sends, kSendsAllowed);
}

TEST(QuarantineDesignsTest, NodesThatCountForThemselvesEndMoreRunnersAndWrongInnocents) {
  FleetResult alone;
  FleetResult shared;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const FleetResult one = Fleet({.nodes = 61, .deadly = 3, .shared = false, .seed = seed}).play();
    const FleetResult two = Fleet({.nodes = 61, .deadly = 3, .shared = true, .seed = seed}).play();
    alone.ends += one.ends;
    alone.wronged += one.wronged;
    shared.ends += two.ends;
    shared.wronged += two.wronged;
  }
  std::cout << "each for itself: " << alone.ends << " ends, " << alone.wronged
            << " innocents kept away; shared: " << shared.ends << " ends, " << shared.wronged
            << " innocents kept away\n";
  EXPECT_LT(shared.ends, alone.ends);
  EXPECT_EQ(shared.wronged, 0U);
}

}  // namespace
}  // namespace stoathold
