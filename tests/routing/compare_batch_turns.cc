// Prints how nodes of a zone share the slots that online work leaves: the table of
// docs/design/batch-placement.md.
#include <cstdio>
#include <string>

#include "tests/routing/batch_replay.h"

namespace {

using stoathold::batch_replay::Order;
using stoathold::batch_replay::Outcome;
using stoathold::batch_replay::Play;
using stoathold::batch_replay::Way;

constexpr int kSeeds = 2;

void print(const char* name, Play play) {
  Outcome sum;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    play.seed = static_cast<std::uint64_t>(seed);
    const Outcome one = stoathold::batch_replay::run(play);
    sum.items_late += one.items_late / kSeeds;
    sum.online_late += one.online_late / kSeeds;
    sum.beyond_slots += one.beyond_slots / kSeeds;
    sum.most_at_runner = std::max(sum.most_at_runner, one.most_at_runner);
    sum.refused += one.refused / kSeeds;
    sum.preempted += one.preempted / kSeeds;
    sum.idle += one.idle / kSeeds;
    sum.idle_wanted += one.idle_wanted / kSeeds;
  }
  std::printf("| %zu | %s | %.1f | %.2f | %.1f | %.0f | %.1f | %.1f | %.0f | %.1f |\n", play.nodes,
              name, sum.items_late, sum.online_late, sum.beyond_slots, sum.most_at_runner,
              sum.refused, sum.preempted, sum.idle, sum.idle_wanted);
  std::fflush(stdout);
}

}  // namespace

int main() {
  std::puts(
      "| nodes | way | items late | online late | items beyond slots | most at a runner | "
      "refused | preempted | idle | idle and allowed |\n|---|---|---|---|---|---|---|---|---|---|");
  for (const std::size_t nodes : {std::size_t{9}, std::size_t{89}}) {
    Play play{.nodes = nodes};
    print("each takes what it sees, least slack first", play);
    play.order = Order::kLeastRest;
    print("the same, least rest first", play);
    play.way = Way::kShares;
    play.order = Order::kByNeed;
    print("parts of what is free, each 20 ms, by need", play);
    play.way = Way::kDealt;
    play.order = Order::kSlack;
    print("dealt, least slack first", play);
    play.stretch = 1.25;
    print("the same, rest counted 1.25 times", play);
    play.stretch = 1;
    play.order = Order::kLeastRest;
    print("dealt, least rest first", play);
    play.order = Order::kByNeed;
    print("dealt, by need", play);
    play.preempt_rest = true;
    print("the same, the item with the most rest gives way", play);
    play.preempt_rest = false;
    play.remote = false;
    print("dealt, by need, not to other zones", play);
    play.remote = true;
    play.way = Way::kOnePool;
    print("one pool, by need", play);
    play.order = Order::kLeastRest;
    print("one pool, least rest first", play);
    // What fits just so.
    play.bursts = false;
    play.batch = 1.3;
    play.way = Way::kAllAtOnce;
    play.order = Order::kSlack;
    print("without bursts, 1.3 times the items: each takes what it sees", play);
    play.way = Way::kDealt;
    print("without bursts: dealt, least slack first", play);
    play.order = Order::kLeastRest;
    print("without bursts: dealt, least rest first", play);
    play.order = Order::kByNeed;
    print("without bursts: dealt, by need", play);
  }
}
