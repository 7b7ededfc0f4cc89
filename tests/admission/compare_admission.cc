// Prints the table of docs/design/admission.md: ways to decide who waits, on the same arrivals.
#include <cstdio>

#include "tests/admission/admission_replay.h"

namespace {

using stoathold::admission_replay::kMs;
using stoathold::admission_replay::Outcome;
using stoathold::admission_replay::Play;
using stoathold::admission_replay::Way;

constexpr const char* kWays[] = {"wait on", "predicted wait", "delay control", "newest first"};

struct Load {
  const char* name;
  Play play;
};

void print(const Load& load, std::size_t nodes, std::int64_t delay_ms) {
  for (const Way way : {Way::kWaitOn, Way::kPredictedWait, Way::kDelayControl, Way::kNewestFirst}) {
    Outcome sum;
    constexpr int kSeeds = 3;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      Play play = load.play;
      play.way = way;
      play.notes_certain = way == Way::kPredictedWait && nodes <= 9 && play.slots <= 120;
      play.nodes = nodes;
      play.message_delay = delay_ms * kMs;
      play.seed = static_cast<std::uint64_t>(seed);
      const Outcome one = stoathold::admission_replay::play(play);
      sum.in_time += one.in_time / kSeeds;
      sum.in_time_back += one.in_time_back / kSeeds;
      sum.late += one.late / kSeeds;
      sum.rejected += one.rejected / kSeeds;
      sum.gone += one.gone / kSeeds;
      sum.p99_wait_ms += one.p99_wait_ms / kSeeds;
      sum.p99_certain_ms += one.p99_certain_ms / kSeeds;
      sum.load_of_returns += one.load_of_returns / kSeeds;
      sum.refused_beside_idle += one.refused_beside_idle / kSeeds;
    }
    std::printf(
        "| %s | %zu | %lld | %s | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f | %.2f | %.0f |\n",
        load.name, nodes, static_cast<long long>(delay_ms), kWays[static_cast<std::size_t>(way)],
        sum.in_time, sum.in_time_back, sum.late, sum.rejected + sum.gone, sum.p99_wait_ms,
        sum.p99_certain_ms, sum.load_of_returns, sum.refused_beside_idle);
  }
}

}  // namespace

int main() {
  std::printf(
      "| load | nodes | ms | way | in time | in time when back | late | not served | p99 wait ms | "
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
