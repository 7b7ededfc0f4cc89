#include "routing/runner_errors.h"

#include <gtest/gtest.h>

#include "gateway/attempt_result.h"
#include "routing/runner_registry.h"

namespace stoathold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

TEST(RunnerErrorsTest, TwoErrorsExceedTheLimit) {
  RunnerErrors errors;
  errors.count(true, kStart);
  EXPECT_FALSE(errors.has_high_error_rate(kStart));
  errors.count(true, kStart);
  EXPECT_TRUE(errors.has_high_error_rate(kStart));
}

TEST(RunnerErrorsTest, FewErrorsAmongManyResponsesAreTolerated) {
  RunnerErrors errors;
  for (int i = 0; i < 20; ++i) errors.count(false, kStart);
  errors.count(true, kStart);
  errors.count(true, kStart);
  EXPECT_FALSE(errors.has_high_error_rate(kStart));
}

TEST(RunnerErrorsTest, ErrorsSeenByDifferentNodesAddUp) {
  RunnerErrors first;
  RunnerErrors second;
  first.count(true, kStart);
  second.count(true, kStart);
  const auto report = first.own_report(kStart);
  ASSERT_TRUE(report);
  second.apply_report(7, *report, kStart);
  EXPECT_TRUE(second.has_high_error_rate(kStart));
  // A repeated report counts once.
  RunnerErrors third;
  third.apply_report(7, *report, kStart);
  third.apply_report(7, *report, kStart);
  EXPECT_FALSE(third.has_high_error_rate(kStart));
}

TEST(RunnerErrorsTest, OldErrorsExpire) {
  RunnerErrors errors;
  errors.count(true, kStart);
  errors.count(true, kStart);
  EXPECT_FALSE(errors.has_high_error_rate(kStart + seconds(5)));
  EXPECT_FALSE(errors.own_report(kStart + seconds(10)));
}

Runner make_runner() {
  return Runner({"r1", "chat", "10.0.0.1:80", "zone", 10, false});
}

void fail_with_error(Runner& runner, TimePoint now) {
  runner.begin_attempt();
  runner.record_receive(now);
  runner.end_attempt(runner_outcome(AttemptResult::kFailed), now);
}

// Guards against ignoring errors of a runner: a 500 response to a batch item was not counted, and
// one passed to the caller counted as served. A runner that failed all its requests looked idle and
// received ever more of them.
TEST(RunnerErrorsTest, RunnerRespondingWithErrorsIsEjected) {
  Runner runner = make_runner();
  fail_with_error(runner, kStart);
  EXPECT_FALSE(runner.ejected(kStart));
  fail_with_error(runner, kStart);
  EXPECT_TRUE(runner.ejected(kStart));
  runner.record_receive(kStart + milliseconds(1));
  EXPECT_TRUE(runner.ejected(kStart + milliseconds(2)));
  ASSERT_TRUE(runner.own_ejection(kStart + milliseconds(2)));
  EXPECT_TRUE(runner.own_ejection(kStart + milliseconds(2))->by_errors);
}

TEST(RunnerErrorsTest, ErrorsPassedToTheCallerCount) {
  EXPECT_EQ(runner_outcome(AttemptResult::kErrorRelayed), AttemptOutcome::kError);
  EXPECT_EQ(runner_outcome(AttemptResult::kFailed), AttemptOutcome::kError);
}

TEST(RunnerErrorsTest, SingleTrialRequestRestoresRunnerAfterEjection) {
  Runner runner = make_runner();
  fail_with_error(runner, kStart);
  fail_with_error(runner, kStart);
  const TimePoint later = kStart + seconds(6);
  EXPECT_FALSE(runner.ejected(later));
  runner.begin_attempt();
  EXPECT_TRUE(runner.ejected(later));  // The trial request is in flight.
  runner.end_attempt(AttemptOutcome::kServed, later);
  EXPECT_FALSE(runner.ejected(later + milliseconds(1)));
}

TEST(RunnerErrorsTest, FailedTrialExtendsEjection) {
  Runner runner = make_runner();
  fail_with_error(runner, kStart);
  fail_with_error(runner, kStart);
  const TimePoint later = kStart + seconds(6);
  fail_with_error(runner, later);
  EXPECT_TRUE(runner.ejected(later + milliseconds(900)));
}

TEST(RunnerErrorsTest, EjectionReportedByOnePeerIsApplied) {
  Runner runner = make_runner();
  runner.record_receive(kStart);
  runner.apply_peer_ejection({.reporter = 7,
                              .failed_at = kStart,
                              .until = kStart + seconds(1),
                              .failures = 2,
                              .by_errors = true},
                             kStart);
  runner.record_receive(kStart + milliseconds(100));
  EXPECT_TRUE(runner.ejected(kStart + milliseconds(200)));
}

}  // namespace
}  // namespace stoathold
