// Prints the share of known origins after the loss of nodes, and the cost of their copies, by size
// of the fleet: the table of docs/design/stream-versions.md.
#include <cstdio>

#include "tests/routing/stream_origin_fleet.h"

namespace {

using stoathold::FleetLoss;
using stoathold::KnownOrigins;

void print_row(int nodes, const char* name, FleetLoss loss) {
  constexpr unsigned kSeeds = 3;
  KnownOrigins sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const KnownOrigins result = stoathold::measure_known_origins(nodes, loss, seed);
    sum.resumed += result.resumed;
    sum.known += result.known;
    sum.wrong += result.wrong;
    sum.messages_per_stream += result.messages_per_stream / kSeeds;
    sum.bytes_per_stream += result.bytes_per_stream / kSeeds;
  }
  std::printf("| %d | %s | %d | %.4f | %d | %.2f | %.0f |\n", nodes, name, sum.resumed,
              sum.resumed == 0 ? 0.0 : static_cast<double>(sum.known) / sum.resumed, sum.wrong,
              sum.messages_per_stream, sum.bytes_per_stream);
}

}  // namespace

int main() {
  std::puts("| nodes | lost | streams cut | origin known | wrong | messages | bytes |");
  std::puts("|---|---|---|---|---|---|---|");
  for (const int nodes : {1, 11, 89, 300}) {
    print_row(nodes, "one node", FleetLoss::kOneNode);
    if (nodes == 1) continue;
    print_row(nodes, "half of a zone", FleetLoss::kHalfOfAZone);
    print_row(nodes, "a zone", FleetLoss::kWholeZone);
    print_row(nodes, "half of all", FleetLoss::kHalfOfAll);
  }
}
