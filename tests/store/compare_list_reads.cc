/// @file
/// Prints how long nodes that start together take to read the runner list, for several variants of
/// reading.

#include <array>
#include <cstdio>
#include <utility>

#include "tests/store/list_read_simulation.h"

namespace stoathold {
namespace {

struct ReadVariant {
  const char* name;
  ListReadPolicy policy;
  double read_timeout;
};

void print_row(const ReadVariant& variant, ListReadSetup setup) {
  setup.read_timeout = variant.read_timeout;
  const ListReadResult result = ListReadSimulation(setup, variant.policy).run();
  std::printf("| %d | %s | %.1f | %.1f | %.0f | %d |\n", setup.nodes, variant.name, result.first,
              result.last, result.transferred_megabytes, result.calls);
}

void print_table() {
  constexpr std::uint64_t kRunnerBytes = 230;
  const std::array<ReadVariant, 3> variants{
      ReadVariant{"1 MB within 1 s, halved after a timeout", fixed_size_reads(), 1.0},
      ReadVariant{"1 MB within 8 s", fixed_size_reads(), 8.0},
      ReadVariant{"64 kB first, then as much as 0.3 s allow", adaptive_reads(), 1.0},
  };
  std::printf(
      "| nodes | method | first, s | last, s | MB transferred | calls "
      "|\n|---|---|---|---|---|---|\n");
  for (const auto& [nodes, runners] : {std::pair{9, 90}, std::pair{61, 610}, std::pair{89, 890},
                                       std::pair{295, 3000}, std::pair{420, 2900}}) {
    ListReadSetup setup;
    setup.nodes = nodes;
    setup.list_bytes = runners * kRunnerBytes;
    for (const ReadVariant& variant : variants) print_row(variant, setup);
  }
  std::printf("\nWith 2 %% of the responses lost:\n\n");
  ListReadSetup setup;
  setup.nodes = 295;
  setup.list_bytes = 3000 * kRunnerBytes;
  setup.loss_probability = 0.02;
  for (const ReadVariant& variant : variants) print_row(variant, setup);
}

}  // namespace
}  // namespace stoathold

int main() {
  stoathold::print_table();
  return 0;
}
