/// @file
/// Prints how long nodes that start together take to read the list of runners, by ways of reading.

#include <array>
#include <cstdio>
#include <utility>

#include "tests/store/list_read_fleet.h"

namespace stoathold {
namespace {

struct Way {
  const char* name;
  ListReadPolicy policy;
  double call_time;
};

void print_row(const Way& way, ListReadSetup setup) {
  setup.call_time = way.call_time;
  const ListReadResult result = ListReadFleet(setup, way.policy).play();
  std::printf("| %d | %s | %.1f | %.1f | %.0f | %d |\n", setup.nodes, way.name, result.first,
              result.last, result.carried_megabytes, result.calls);
}

void print_table() {
  constexpr std::uint64_t kRunnerBytes = 230;
  const std::array<Way, 3> ways{
      Way{"1 MB within 1 s, half after a silence", whole_reads(), 1.0},
      Way{"1 MB within 8 s", whole_reads(), 8.0},
      Way{"64 kB first, then what came in 0.3 s", learned_reads(), 1.0},
  };
  std::printf(
      "| nodes | way | first, s | last, s | MB carried | calls |\n|---|---|---|---|---|---|\n");
  for (const auto& [nodes, runners] : {std::pair{9, 90}, std::pair{61, 610}, std::pair{89, 890},
                                       std::pair{295, 3000}, std::pair{420, 2900}}) {
    ListReadSetup setup;
    setup.nodes = nodes;
    setup.list_bytes = runners * kRunnerBytes;
    for (const Way& way : ways) print_row(way, setup);
  }
  std::printf("\nWith 2 %% of the answers lost:\n\n");
  ListReadSetup setup;
  setup.nodes = 295;
  setup.list_bytes = 3000 * kRunnerBytes;
  setup.lost_part = 0.02;
  for (const Way& way : ways) print_row(way, setup);
}

}  // namespace
}  // namespace stoathold

int main() {
  stoathold::print_table();
  return 0;
}
