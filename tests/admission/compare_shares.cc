/// @file
/// Prints the table of docs/design/fair-shares.md, which compares ways to share slots among ten
/// tenants of which one requests ten times its share.
#include <cstdio>
#include <numeric>

#include "tests/admission/fair_share_strategies.h"

namespace {

using namespace stoathold;
using namespace stoathold::share_replay;

struct NamedStrategy {
  const char* name;
  StrategyFactory factory;
  bool yields_slots;
};

double sum_of_others(const std::vector<double>& values) {
  return std::accumulate(values.begin() + 1, values.end(), 0.0);
}

void compare(const NamedStrategy& strategy, std::size_t nodes, double load_factor) {
  Scenario scenario = ten_tenants(nodes, load_factor, 1);
  scenario.yields_slots = strategy.yields_slots;
  const Outcome without = Replay(scenario, strategy.factory).run();
  scenario = ten_tenants(nodes, load_factor, 10);
  scenario.yields_slots = strategy.yields_slots;
  const Outcome with = Replay(scenario, strategy.factory).run();
  std::printf("| %.1f | %zu | %s | %.0f | %.0f | %.3f | %.0f | %.2f |\n", load_factor, nodes,
              strategy.name, sum_of_others(without.in_time), sum_of_others(with.in_time),
              sum_of_others(with.in_time) / sum_of_others(without.in_time), with.in_time[0],
              with.idle_seconds);
  std::fflush(stdout);
}

}  // namespace

int main() {
  const std::vector<NamedStrategy> strategies{
      {"due time", [] { return std::make_unique<ByDueTime>(); }, false},
      {"start-time queueing, own", [] { return std::make_unique<StartTimeQueueing>(); }, false},
      {"use, own", by_use(false), false},
      {"use, zone", by_use(true), false},
      {"use, own, leaves slots", by_use(false), true},
      {"use, zone, leaves slots", by_use(true), true}};
  std::printf("| load | nodes | way | others without | others with | ratio | flood | idle s |\n");
  std::printf("|---|---|---|---|---|---|---|---|\n");
  for (const double load_factor : {1.5, 2.0, 3.8}) {
    for (const std::size_t nodes : {1U, 9U, 89U}) {
      for (const NamedStrategy& strategy : strategies) compare(strategy, nodes, load_factor);
    }
  }
  return 0;
}
