// Prints the table of docs/design/admission.md, which compares admission strategies on the same
// arrivals.
#include <cstdio>

#include "tests/admission/admission_simulation.h"

namespace {

using stoathold::admission_replay::kMs;
using stoathold::admission_replay::Outcome;
using stoathold::admission_replay::Scenario;
using stoathold::admission_replay::Strategy;

constexpr const char* kStrategyNames[] = {"wait on", "predicted wait", "delay control",
                                          "newest first"};

struct Load {
  const char* name;
  Scenario scenario;
};

void print(const Load& load, std::size_t nodes, std::int64_t delay_ms) {
  for (const Strategy strategy : {Strategy::kWaitUntilTimeout, Strategy::kPredictedWait,
                                  Strategy::kDelayControl, Strategy::kNewestFirst}) {
    Outcome sum;
    constexpr int kSeeds = 3;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      Scenario scenario = load.scenario;
      scenario.strategy = strategy;
      scenario.measures_rejection_delay =
          strategy == Strategy::kPredictedWait && nodes <= 9 && scenario.slots <= 120;
      scenario.nodes = nodes;
      scenario.message_delay = delay_ms * kMs;
      scenario.seed = static_cast<std::uint64_t>(seed);
      const Outcome one = stoathold::admission_replay::simulate(scenario);
      sum.in_time += one.in_time / kSeeds;
      sum.in_time_after_retry += one.in_time_after_retry / kSeeds;
      sum.late += one.late / kSeeds;
      sum.rejected += one.rejected / kSeeds;
      sum.abandoned += one.abandoned / kSeeds;
      sum.p99_wait_ms += one.p99_wait_ms / kSeeds;
      sum.p99_rejection_delay_ms += one.p99_rejection_delay_ms / kSeeds;
      sum.retry_peak_ratio += one.retry_peak_ratio / kSeeds;
      sum.rejected_despite_idle += one.rejected_despite_idle / kSeeds;
    }
    std::printf(
        "| %s | %zu | %lld | %s | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f | %.2f | %.0f |\n",
        load.name, nodes, static_cast<long long>(delay_ms),
        kStrategyNames[static_cast<std::size_t>(strategy)], sum.in_time, sum.in_time_after_retry,
        sum.late, sum.rejected + sum.abandoned, sum.p99_wait_ms, sum.p99_rejection_delay_ms,
        sum.retry_peak_ratio, sum.rejected_despite_idle);
  }
}

}  // namespace

int main() {
  std::printf(
      "| load | nodes | ms | way | in time | in time when back | late | not served | p99 wait "
      "ms | "
      "p99 certain ms | load of returns | refused beside idle |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  const Load loads[] = {
      {"480 slots, 2 times", {.slots = 480, .mean_rate = 246, .factor = 2}},
      {"712 slots, 1.5 times",
       {.slots = 712, .mean_rate = 407, .slot_time = 800 * kMs, .factor = 1.5}},
      {"one zone of 120, 4 times", {.slots = 120, .mean_rate = 61, .factor = 4}},
  };
  for (const Load& load : loads) {
    print(load, 1, 0);
    print(load, 9, 20);
    print(load, 89, 50);
  }
}
