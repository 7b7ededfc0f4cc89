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
constexpr std::size_t kFullPartTable = 256;
constexpr std::size_t kBodyBytes = 2000;

Quarantine make_quarantine() {
  return Quarantine([](std::uint64_t) { return std::nullopt; });
}

/// Checks one arriving request as `OnlineRequest` does.
bool check(Quarantine& quarantine, const std::string& body) {
  return QuarantineCheck(quarantine,
                         {.tenant = "t", .host = "a.example", .target = "/x/1", .body = body},
                         RequestSource::kOnline)
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

std::string make_prompt(std::int64_t parts) {
  std::string prompt;
  for (std::int64_t part = 0; part < parts; ++part) {
    prompt += "part" + std::to_string(part) + ":100,";
  }
  return prompt;
}

/// Checks an arriving request, and records its first event.
void serve_with_parts(benchmark::State& state, Quarantine& quarantine) {
  const std::string body(kBodyBytes, 'x');
  const std::string prompt = make_prompt(state.range(0));
  for (auto _ : state) {
    QuarantineCheck check(quarantine,
                          {.tenant = "t", .host = "a.example", .target = "/x/1", .body = body},
                          RequestSource::kOnline);
    check.set_prompt_prefix(prompt);
    check.set_service("chat");
    benchmark::DoNotOptimize(check.is_quarantined());
    check.record_first_event();
  }
}

void request_with_parts_and_an_empty_quarantine(benchmark::State& state) {
  Quarantine quarantine = make_quarantine();
  serve_with_parts(state, quarantine);
}

void request_with_parts_while_a_part_is_quarantined(benchmark::State& state) {
  Quarantine quarantine = make_quarantine();
  quarantine.apply_record(ContentHash{1}, {.since_ms = 0, .exits = 3}, monotonic_now(), 0);
  serve_with_parts(state, quarantine);
}

/// Records an exit with a request of this many parts, and decides, while the table is full.
void exit_with_parts(benchmark::State& state) {
  Quarantine quarantine = make_quarantine();
  const std::string prompt = make_prompt(state.range(0));
  std::uint64_t runner = 0;
  const auto end = [&] {
    ++runner;
    std::vector<PartHash> parts = hash_prompt_parts(prompt, "chat");
    parts.back() = PartHash{runner};
    quarantine.record_part_exit({.start = {runner, 0},
                                 .content = ContentHash{runner},
                                 .tenant = 0,
                                 .parts = std::move(parts),
                                 .own_part = {},
                                 .at = kNow + runner * std::chrono::milliseconds(1)});
    while (!quarantine.next_zone_part_reports(kNow).empty()) {
    }
  };
  while (quarantine.part_exit_count() < kFullPartTable) end();
  for (auto _ : state) end();
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
BENCHMARK(request_with_parts_and_an_empty_quarantine)->Arg(1)->Arg(3)->Arg(40);
BENCHMARK(request_with_parts_while_a_part_is_quarantined)->Arg(1)->Arg(3)->Arg(40);
BENCHMARK(exit_with_parts)->Arg(1)->Arg(3)->Arg(40);
BENCHMARK(end_of_a_runner)->Arg(1)->Arg(17);

}  // namespace
}  // namespace stoathold

BENCHMARK_MAIN();
