/// @file
/// `stoathold-quarantine-bench`: CPU time that the quarantine adds to each request and to each exit
/// of a runner (Google Benchmark).
#include <benchmark/benchmark.h>

#include <string>

#include "quarantine/quarantine_check.h"

namespace stoathold {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr std::uint64_t kFullTable = 4096;

Quarantine make_quarantine() {
  return Quarantine([](std::uint64_t) { return std::nullopt; });
}

/// Checks one arriving request as `OnlineRequest` does.
bool check(Quarantine& quarantine, const std::string& body) {
  return QuarantineCheck(quarantine,
                         {.tenant = "t", .host = "a.example", .target = "/x/1", .body = body})
      .is_quarantined();
}

void arrival_with_an_empty_quarantine(benchmark::State& state) {
  Quarantine quarantine = make_quarantine();
  const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) benchmark::DoNotOptimize(check(quarantine, body));
}

void arrival_with_requests_in_quarantine(benchmark::State& state) {
  Quarantine quarantine = make_quarantine();
  for (std::uint64_t content = 1; content <= 100; ++content) {
    quarantine.apply_record(ContentHash{content}, {.since_ms = 0, .exits = 3}, monotonic_now(), 0);
  }
  const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) benchmark::DoNotOptimize(check(quarantine, body));
}

/// Records the exit of a runner that was running requests, while the suspect table is full. The
/// larger argument, 17, is the number of slots of a runner.
void end_of_a_runner(benchmark::State& state) {
  Quarantine quarantine = make_quarantine();
  std::uint64_t runner = 0;
  std::uint64_t content = 0;
  const auto end_with = [&](std::int64_t requests) {
    ++runner;
    for (std::int64_t i = 0; i < requests; ++i) {
      quarantine.record_runner_exit({ContentHash{++content}, runner, RunStage::kWaiting, kNow});
    }
    while (!quarantine.next_zone_reports(kNow).empty()) {
    }
  };
  while (quarantine.suspect_count() < kFullTable) end_with(state.range(0));
  for (auto _ : state) end_with(state.range(0));
}

BENCHMARK(arrival_with_an_empty_quarantine)->Arg(2000)->Arg(100000);
BENCHMARK(arrival_with_requests_in_quarantine)->Arg(2000)->Arg(100000);
BENCHMARK(end_of_a_runner)->Arg(1)->Arg(17);

}  // namespace
}  // namespace stoathold

BENCHMARK_MAIN();
