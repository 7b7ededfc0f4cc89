/// @file
/// `stoathold-decide`: CPU time of one routing decision at full fleet size (Google Benchmark).
#include <benchmark/benchmark.h>

#include "core/runner_table.h"

namespace stoathold {
namespace {

constexpr std::uint32_t kZones = 21;
constexpr std::uint32_t kRegions = 7;

void decide(benchmark::State& state) {
  const Knobs knobs;
  RunnerTable table("region-0", "zone-0", 1, knobs);
  std::vector<ListedRunner> runners;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const auto zone = static_cast<std::uint32_t>(i) % kZones;
    const std::string name = "runner-" + std::to_string(i);
    runners.push_back({name, "region-" + std::to_string(zone % kRegions),
                       "zone-" + std::to_string(zone), name, "assistant", false});
  }
  table.on_machine_list(runners);
  const TimePoint now{std::chrono::seconds(100)};
  std::uint64_t prefix = 0;
  for (auto _ : state) {
    const Pick pick = table.pick({"assistant", 16, ++prefix, {}}, now);
    benchmark::DoNotOptimize(pick.runner);
    table.on_stream_started(pick.runner);
    table.on_stream_ended(pick.runner, StreamResult::kSucceeded, now);
  }
}

BENCHMARK(decide)->Arg(140)->Arg(720)->Arg(2900);

}  // namespace
}  // namespace stoathold

BENCHMARK_MAIN();
