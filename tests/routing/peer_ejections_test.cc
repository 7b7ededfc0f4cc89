#include "routing/peer_ejections.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "routing/runner_registry.h"

namespace stoathold {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr TimePoint kNever{};

TimePoint after_ms(int milliseconds) {
  return kStart + std::chrono::milliseconds(milliseconds);
}

PeerEjection report(std::uint64_t reporter, int failed_at_ms, int until_ms,
                    std::uint32_t failures = 1) {
  return {reporter, after_ms(failed_at_ms), after_ms(until_ms), failures};
}

TEST(PeerEjectionsTest, OneReporterDoesNotEject) {
  PeerEjections ejections;
  ejections.add_report(report(1, 0, 500), kStart);
  ejections.add_report(report(1, 10, 600), kStart);
  EXPECT_EQ(ejections.ejected_until(kNever, {}, false), kNever);
}

TEST(PeerEjectionsTest, TwoReportersEjectUntilFirstRetry) {
  PeerEjections ejections;
  ejections.add_report(report(1, 0, 500), kStart);
  ejections.add_report(report(2, 0, 900), kStart);
  EXPECT_EQ(ejections.ejected_until(kNever, {}, false), after_ms(500));
  ejections.add_report(report(3, 0, 700), kStart);
  EXPECT_EQ(ejections.ejected_until(kNever, {}, false), after_ms(700));
}

TEST(PeerEjectionsTest, OwnFailureCountsAsReport) {
  PeerEjections ejections;
  ejections.add_report(report(1, 0, 500), kStart);
  EXPECT_EQ(ejections.ejected_until(kNever, {}, true), after_ms(500));
}

TEST(PeerEjectionsTest, LaterResponseRefutesReport) {
  PeerEjections ejections;
  ejections.add_report(report(1, 0, 500, 3), kStart);
  ejections.add_report(report(2, 20, 900, 2), kStart);
  EXPECT_EQ(ejections.failures(kNever, {}), 3U);
  EXPECT_EQ(ejections.ejected_until(after_ms(10), {}, false), kNever);
  EXPECT_EQ(ejections.failures(after_ms(10), {}), 2U);
  EXPECT_EQ(ejections.failures(after_ms(20), {}), 0U);
}

/// Simulates nodes of one zone that share a runner which never responds. Reports are delivered
/// after a fixed delay, as digests are.
class UnresponsiveRunnerZone {
 public:
  UnresponsiveRunnerZone(std::size_t nodes, bool reports_shared) : reports_shared_(reports_shared) {
    for (std::size_t i = 0; i < nodes; ++i) {
      runners_.emplace_back(RunnerRecord{"r1", "chat", "10.0.0.1:80", "zone", 5, false});
    }
  }

  /// In each step of 10 ms one node, in round-robin order, tries to use the runner.
  /// @return the number of attempts at the runner.
  std::size_t run(int steps) {
    constexpr int kStepMs = 10;
    for (int step = 0; step < steps; ++step) {
      const TimePoint now = after_ms(step * kStepMs);
      end_attempts(now);
      deliver(now);
      Runner& runner = runners_[static_cast<std::size_t>(step) % runners_.size()];
      if (runner.ejected(now)) continue;
      runner.begin_attempt();
      ++attempts_;
      open_.push_back({&runner, now + kConnectTimeout});
      if (reports_shared_) change_peer_use(runner, 1);
    }
    return attempts_;
  }

 private:
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(60);
  static constexpr Duration kReportDelay = std::chrono::milliseconds(30);

  struct OpenAttempt {
    Runner* runner;
    TimePoint fails_at;
  };
  struct SentReport {
    PeerEjection ejection;
    TimePoint arrives_at;
  };

  void end_attempts(TimePoint now) {
    for (const auto& attempt : open_) {
      if (now < attempt.fails_at) continue;
      attempt.runner->end_attempt(AttemptOutcome::kUnreachable, now);
      if (!reports_shared_) continue;
      change_peer_use(*attempt.runner, -1);
      PeerEjection ejection = attempt.runner->own_ejection(now).value();
      ejection.reporter = static_cast<std::uint64_t>(attempt.runner - runners_.data());
      sent_.push_back({ejection, now + kReportDelay});
    }
    std::erase_if(open_, [now](const OpenAttempt& attempt) { return now >= attempt.fails_at; });
  }

  void deliver(TimePoint now) {
    for (const auto& report : sent_) {
      if (now < report.arrives_at) continue;
      for (auto& runner : runners_) {
        const auto receiver = static_cast<std::uint64_t>(&runner - runners_.data());
        if (receiver != report.ejection.reporter) runner.apply_peer_ejection(report.ejection, now);
      }
    }
    std::erase_if(sent_, [now](const SentReport& report) { return now >= report.arrives_at; });
  }

  void change_peer_use(const Runner& user, int change) {
    for (auto& runner : runners_) {
      if (&runner != &user) runner.change_peer_use(change, 0, 0);
    }
  }

  bool reports_shared_;
  std::vector<Runner> runners_;
  std::vector<OpenAttempt> open_;
  std::vector<SentReport> sent_;
  std::size_t attempts_ = 0;
};

TEST(PeerEjectionsTest, AttemptsAtUnresponsiveRunnerDoNotGrowWithNodes) {
  constexpr int kSteps = 1000;  // 10 s.
  const std::size_t without_reports = UnresponsiveRunnerZone(60, false).run(kSteps);
  const std::size_t few_nodes = UnresponsiveRunnerZone(4, true).run(kSteps);
  const std::size_t many_nodes = UnresponsiveRunnerZone(60, true).run(kSteps);
  EXPECT_GE(without_reports, 200U);
  EXPECT_LE(few_nodes, 40U);
  EXPECT_LE(many_nodes, 40U);
}

TEST(PeerEjectionsTest, RunnerThatRespondsAgainIsUsedByAllNodes) {
  Runner runner({"r1", "chat", "10.0.0.1:80", "zone", 5, false});
  runner.apply_peer_ejection(report(1, 0, 500), kStart);
  runner.apply_peer_ejection(report(2, 0, 500), kStart);
  EXPECT_TRUE(runner.ejected(after_ms(100)));
  // After the ejection one trial request at a time is allowed, over all nodes.
  EXPECT_FALSE(runner.ejected(after_ms(600)));
  runner.set_peer_use(1, 0);
  EXPECT_TRUE(runner.ejected(after_ms(600)));
  runner.record_receive(after_ms(610));
  EXPECT_FALSE(runner.ejected(after_ms(610)));
}

}  // namespace
}  // namespace stoathold
