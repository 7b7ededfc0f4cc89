#include "routing/slow_answers.h"

#include <algorithm>

namespace stoathold {
namespace {

/// Time in which counts fall to 1/e: a runner with just enough slow answers is tried again after
/// half a second, one with twice as many after 2 s.
constexpr Duration kMemory = std::chrono::seconds(3);
/// Times the expected time, at the slowest moment, from which an answer is beyond explanation. A
/// single answer is learned from as at most twice the expected time.
constexpr Duration::rep kBeyondExpected = 3;
/// What a busy node itself adds to an answer: machines with a tenth of a core get it each 100 ms.
constexpr Duration kOwnDelay = std::chrono::milliseconds(100);
/// Slow answers that count as evidence: one may have met a pause of the network.
constexpr double kSlowToAvoid = 2.5;
/// Those that keep it on trial.
constexpr double kSlowToTry = 1;
/// Part of a runner's answers that must be slow.
constexpr double kPartToAvoid = 0.5;
/// Part of the other runners' answers: if so many are slow, the cause is not the runner.
constexpr double kPartOfOthers = 0.25;
constexpr std::size_t kLeastRunnersEach = 4;

double part(const SlowCounts& counts) {
  const double all = counts.slow + counts.usual;
  return all > 0 ? counts.slow / all : 0;
}

SlowVerdict judge(const SlowCounts& counts, const SlowCounts& pool) {
  if (counts.slow < kSlowToTry || part(counts) < kPartToAvoid) return SlowVerdict::kNone;
  const SlowCounts others{pool.slow - counts.slow, pool.usual - counts.usual};
  const bool nothing_to_compare = others.slow + others.usual < kSlowToTry;
  if (nothing_to_compare || part(others) >= kPartOfOthers) return SlowVerdict::kNone;
  return counts.slow >= kSlowToAvoid ? SlowVerdict::kAvoided : SlowVerdict::kOnTrial;
}

}  // namespace

bool is_beyond_explanation(Duration time, Duration expected) {
  return time > kBeyondExpected * expected + kOwnDelay;
}

SlowAnswers::SlowAnswers()
    : own_slow_(kMemory), own_usual_(kMemory), reported_slow_(kMemory), reported_usual_(kMemory) {}

void SlowAnswers::count(bool slow, TimePoint now) {
  (slow ? own_slow_ : own_usual_).add(1, now);
}

void SlowAnswers::take_report(const SlowCounts& counts, TimePoint now) {
  if (counts.slow + counts.usual < reported_slow_.value(now) + reported_usual_.value(now)) return;
  reported_slow_.set(counts.slow, now);
  reported_usual_.set(counts.usual, now);
}

SlowCounts SlowAnswers::own(TimePoint now) const {
  return {own_slow_.value(now), own_usual_.value(now)};
}

bool SlowAnswers::is_suspect(TimePoint now) const {
  return own_slow_.value(now) + reported_slow_.value(now) >= kSlowToTry;
}

SlowCounts SlowAnswers::all(TimePoint now) const {
  SlowCounts all = own(now);
  all += {reported_slow_.value(now), reported_usual_.value(now)};
  return all;
}

std::vector<SlowVerdict> judge_slow(const std::vector<SlowCounts>& counts) {
  SlowCounts pool;
  for (const SlowCounts& of_runner : counts) pool += of_runner;
  std::vector<SlowVerdict> verdicts;
  std::size_t marked = 0;
  for (const SlowCounts& of_runner : counts) {
    verdicts.push_back(judge(of_runner, pool));
    if (verdicts.back() != SlowVerdict::kNone) ++marked;
  }
  if (marked * kLeastRunnersEach > counts.size()) {
    std::fill(verdicts.begin(), verdicts.end(), SlowVerdict::kNone);
  }
  return verdicts;
}

}  // namespace stoathold
