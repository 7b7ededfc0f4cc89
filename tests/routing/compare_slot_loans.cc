/// @file
/// Prints a comparison of policies for placing requests at runners of other zones, as shown in
/// docs/design/slot-loans.md.
#include <cstdio>

#include "tests/routing/slot_loan_fleet.h"

namespace {

using stoathold::slot_loan_fleet::FleetSimulation;
using stoathold::slot_loan_fleet::Outcome;
using stoathold::slot_loan_fleet::PlacementStrategy;
using stoathold::slot_loan_fleet::Scenario;

struct NamedPolicy {
  const char* name;
  PlacementStrategy policy;
};

constexpr NamedPolicy kPolicies[] = {
    {"reports each 250 ms, below 0.75", PlacementStrategy::kReports},
    {"reports each 50 ms, better of two", PlacementStrategy::kFrequentReports},
    {"loans for all that waits", PlacementStrategy::kLoansForAll},
    {"loans for what would be late", PlacementStrategy::kLoansForLate},
    {"one pool", PlacementStrategy::kSinglePool}};

void print_row(std::size_t nodes, int delay_ms, double utilisation) {
  for (const NamedPolicy& named : kPolicies) {
    Scenario scenario{.policy = named.policy,
                      .nodes = nodes,
                      .delay = std::chrono::milliseconds(delay_ms),
                      .utilisation = utilisation,
                      .seconds = nodes > 100 ? 3.0 : 6.0};
    const Outcome outcome = FleetSimulation(scenario).run();
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
