/// @file
/// Prints the table of docs/design/fair-shares.md: ways to share slots among ten tenants of which
/// one asks for ten times its part.
#include <cstdio>
#include <numeric>

#include "tests/admission/share_ways.h"

namespace {

using namespace stoathold;
using namespace stoathold::share_replay;

struct Way {
  const char* name;
  MakeTurns make;
  bool leaves_slots;
};

double sum_of_others(const std::vector<double>& values) {
  return std::accumulate(values.begin() + 1, values.end(), 0.0);
}

void compare(const Way& way, std::size_t nodes, double times_room) {
  Play play = ten_tenants(nodes, times_room, 1);
  play.leaves_slots = way.leaves_slots;
  const Outcome without = Replay(play, way.make).run();
  play = ten_tenants(nodes, times_room, 10);
  play.leaves_slots = way.leaves_slots;
  const Outcome with = Replay(play, way.make).run();
  std::printf("| %.1f | %zu | %s | %.0f | %.0f | %.3f | %.0f | %.2f |\n", times_room, nodes,
              way.name, sum_of_others(without.in_time), sum_of_others(with.in_time),
              sum_of_others(with.in_time) / sum_of_others(without.in_time), with.in_time[0],
              with.idle_seconds);
  std::fflush(stdout);
}

}  // namespace

int main() {
  const std::vector<Way> ways{
      {"due time", [] { return std::make_unique<ByDueTime>(); }, false},
      {"start-time queueing, own", [] { return std::make_unique<StartTimeQueueing>(); }, false},
      {"use, own", by_use(false), false},
      {"use, zone", by_use(true), false},
      {"use, own, leaves slots", by_use(false), true},
      {"use, zone, leaves slots", by_use(true), true}};
  std::printf("| load | nodes | way | others without | others with | ratio | flood | idle s |\n");
  std::printf("|---|---|---|---|---|---|---|---|\n");
  for (const double times_room : {1.5, 2.0, 3.8}) {
    for (const std::size_t nodes : {1U, 9U, 89U}) {
      for (const Way& way : ways) compare(way, nodes, times_room);
    }
  }
  return 0;
}
