/// @file
/// Prints how ways to place work at other zones' runners compare; docs/design/slot-loans.md shows
/// it.
#include <cstdio>

#include "tests/routing/slot_loan_fleet.h"

namespace {

using stoathold::slot_loan_fleet::Fleet;
using stoathold::slot_loan_fleet::Outcome;
using stoathold::slot_loan_fleet::Play;
using stoathold::slot_loan_fleet::Way;

struct NamedWay {
  const char* name;
  Way way;
};

constexpr NamedWay kWays[] = {{"reports each 250 ms, below 0.75", Way::kReports},
                              {"reports each 50 ms, better of two", Way::kOftenerReports},
                              {"loans for all that waits", Way::kLoans},
                              {"loans for what would be late", Way::kLoansIfLate},
                              {"one pool", Way::kOnePool}};

void print_row(std::size_t nodes, int delay_ms, double utilisation) {
  for (const NamedWay& named : kWays) {
    Play play{.way = named.way,
              .nodes = nodes,
              .delay = std::chrono::milliseconds(delay_ms),
              .utilisation = utilisation,
              .seconds = nodes > 100 ? 3.0 : 6.0};
    const Outcome outcome = Fleet(play).run();
    std::printf("| %zu | %d | %.2f | %s | %.2f | %.2f | %.1f | %.1f | %.0f | %.0f |\n", nodes,
                delay_ms, utilisation, named.name, outcome.late_hot, outcome.late_others,
                outcome.shed, outcome.remote, outcome.kilobytes, outcome.messages);
  }
}

}  // namespace

int main() {
  for (const std::size_t nodes : {9, 89, 295}) {
    for (const int delay_ms : {1, 50}) {
      for (const double utilisation : {0.88, 0.96, 1.2}) print_row(nodes, delay_ms, utilisation);
    }
  }
  return 0;
}
