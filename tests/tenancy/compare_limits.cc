// Compares three implementations of distributed tenant limits: `compare_limits [SEED...]`.
#include <array>
#include <cstdio>
#include <cstdlib>

#include "tests/tenancy/rate_limit_simulation.h"

namespace stoathold::limit_fleet {
namespace {

struct NamedScenario {
  const char* name;
  Scenario scenario;
};

std::vector<NamedScenario> scenarios_for(std::size_t nodes, std::size_t zones, std::size_t tenants,
                                         double requests, std::uint64_t seed) {
  const Scenario base{.nodes = nodes,
                      .zones = zones,
                      .tenants = tenants,
                      .requests_per_second = requests,
                      .seed = seed};
  std::vector<NamedScenario> scenarios{
      {"even", base}, {"uneven", base}, {"flood", base}, {"cut", base}};
  for (std::size_t i = 1; i < scenarios.size(); ++i) scenarios[i].scenario.skew = 1;
  for (std::size_t i = 2; i < scenarios.size(); ++i) scenarios[i].scenario.flood_factor = 8;
  scenarios[3].scenario.partitioned_fraction = 0.35;
  return scenarios;
}

void compare(std::uint64_t seed) {
  struct Size {
    std::size_t nodes, zones, tenants;
    double requests;
  };
  constexpr std::array kSizes{Size{9, 3, 20, 120}, Size{61, 3, 73, 350}, Size{295, 15, 300, 1500},
                              Size{420, 21, 1000, 2100}};
  constexpr std::array kStrategies{std::pair{"shares", StrategyKind::kShares},
                                   std::pair{"grantor", StrategyKind::kGrantor},
                                   std::pair{"gossip", StrategyKind::kGossip}};
  for (const Size& size : kSizes) {
    for (const auto& [name, scenario] :
         scenarios_for(size.nodes, size.zones, size.tenants, size.requests, seed)) {
      for (const auto& [strategy_name, kind] : kStrategies) {
        const Outcome outcome = simulate(scenario, kind);
        std::printf(
            "%4zu nodes %-7s %-8s overshoot %5.2f  wrongly refused %6.2f  waited %6.1f  "
            "messages %6.1f\n",
            size.nodes, name, strategy_name, outcome.overshoot, outcome.excess_rejections,
            outcome.waited, outcome.messages);
        std::fflush(stdout);
      }
    }
  }
}

}  // namespace
}  // namespace stoathold::limit_fleet

int main(int argc, char** argv) {
  if (argc < 2) stoathold::limit_fleet::compare(1);
  for (int i = 1; i < argc; ++i) {
    stoathold::limit_fleet::compare(std::strtoull(argv[i], nullptr, 10));
  }
  return 0;
}
