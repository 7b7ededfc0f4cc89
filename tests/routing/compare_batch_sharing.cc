// Prints a comparison of the policies by which nodes of a zone share the slots left by online work:
// the table of docs/design/batch-placement.md.
#include <cstdio>
#include <string>

#include "tests/routing/batch_replay.h"

namespace {

using stoathold::batch_replay::ItemOrder;
using stoathold::batch_replay::Outcome;
using stoathold::batch_replay::Scenario;
using stoathold::batch_replay::SharingPolicy;

constexpr int kSeeds = 2;

void print(const char* name, Scenario scenario) {
  Outcome sum;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    scenario.seed = static_cast<std::uint64_t>(seed);
    const Outcome one = stoathold::batch_replay::run(scenario);
    sum.items_late += one.items_late / kSeeds;
    sum.online_late += one.online_late / kSeeds;
    sum.items_beyond_slots += one.items_beyond_slots / kSeeds;
    sum.max_requests_at_runner = std::max(sum.max_requests_at_runner, one.max_requests_at_runner);
    sum.rejected += one.rejected / kSeeds;
    sum.preempted += one.preempted / kSeeds;
    sum.idle_slots += one.idle_slots / kSeeds;
    sum.idle_allowed_slots += one.idle_allowed_slots / kSeeds;
  }
  std::printf("| %zu | %s | %.1f | %.2f | %.1f | %.0f | %.1f | %.1f | %.0f | %.1f |\n",
              scenario.nodes, name, sum.items_late, sum.online_late, sum.items_beyond_slots,
              sum.max_requests_at_runner, sum.rejected, sum.preempted, sum.idle_slots,
              sum.idle_allowed_slots);
  std::fflush(stdout);
}

}  // namespace

int main() {
  std::puts(
      "| nodes | way | items late | online late | items beyond slots | most at a runner | "
      "refused | preempted | idle | idle and allowed |\n|---|---|---|---|---|---|---|---|---|---|");
  for (const std::size_t nodes : {std::size_t{9}, std::size_t{89}}) {
    Scenario scenario{.nodes = nodes};
    print("each takes what it sees, least slack first", scenario);
    scenario.order = ItemOrder::kLeastRemaining;
    print("the same, least rest first", scenario);
    scenario.policy = SharingPolicy::kProportionalBudget;
    scenario.order = ItemOrder::kAdaptive;
    print("parts of what is free, each 20 ms, by need", scenario);
    scenario.policy = SharingPolicy::kArbitrated;
    scenario.order = ItemOrder::kLeastSlack;
    print("dealt, least slack first", scenario);
    scenario.remaining_time_factor = 1.25;
    print("the same, rest counted 1.25 times", scenario);
    scenario.remaining_time_factor = 1;
    scenario.order = ItemOrder::kLeastRemaining;
    print("dealt, least rest first", scenario);
    scenario.order = ItemOrder::kAdaptive;
    print("dealt, by need", scenario);
    scenario.preempt_most_remaining = true;
    print("the same, the item with the most rest gives way", scenario);
    scenario.preempt_most_remaining = false;
    scenario.remote = false;
    print("dealt, by need, not to other zones", scenario);
    scenario.remote = true;
    scenario.policy = SharingPolicy::kGlobalQueue;
    print("one pool, by need", scenario);
    scenario.order = ItemOrder::kLeastRemaining;
    print("one pool, least rest first", scenario);
    // A load that barely fits.
    scenario.bursts = false;
    scenario.batch_rate_factor = 1.3;
    scenario.policy = SharingPolicy::kUncoordinated;
    scenario.order = ItemOrder::kLeastSlack;
    print("without bursts, 1.3 times the items: each takes what it sees", scenario);
    scenario.policy = SharingPolicy::kArbitrated;
    print("without bursts: dealt, least slack first", scenario);
    scenario.order = ItemOrder::kLeastRemaining;
    print("without bursts: dealt, least rest first", scenario);
    scenario.order = ItemOrder::kAdaptive;
    print("without bursts: dealt, by need", scenario);
  }
}
