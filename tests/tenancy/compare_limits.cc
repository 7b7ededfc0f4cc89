// Prints how three ways to hold tenants' limits over all nodes compare: `compare_limits [SEED...]`.
#include <array>
#include <cstdio>
#include <cstdlib>

#include "tests/tenancy/limit_fleet.h"

namespace stoathold::limit_fleet {
namespace {

struct NamedPlay {
  const char* name;
  Play play;
};

std::vector<NamedPlay> plays_of(std::size_t nodes, std::size_t zones, std::size_t tenants,
                                double requests, std::uint64_t seed) {
  const Play base{.nodes = nodes,
                  .zones = zones,
                  .tenants = tenants,
                  .requests_per_second = requests,
                  .seed = seed};
  std::vector<NamedPlay> plays{{"even", base}, {"uneven", base}, {"flood", base}, {"cut", base}};
  for (std::size_t i = 1; i < plays.size(); ++i) plays[i].play.skew = 1;
  for (std::size_t i = 2; i < plays.size(); ++i) plays[i].play.flood_factor = 8;
  plays[3].play.cut_part = 0.35;
  return plays;
}

void compare(std::uint64_t seed) {
  struct Size {
    std::size_t nodes, zones, tenants;
    double requests;
  };
  constexpr std::array kSizes{Size{9, 3, 20, 120}, Size{61, 3, 73, 350}, Size{295, 15, 300, 1500},
                              Size{420, 21, 1000, 2100}};
  constexpr std::array kWays{std::pair{"shares", Way::kShares}, std::pair{"grantor", Way::kGrantor},
                             std::pair{"gossip", Way::kGossip}};
  for (const Size& size : kSizes) {
    for (const auto& [name, what] :
         plays_of(size.nodes, size.zones, size.tenants, size.requests, seed)) {
      for (const auto& [way_name, way] : kWays) {
        const Outcome outcome = play(what, way);
        std::printf(
            "%4zu nodes %-7s %-8s overshoot %5.2f  wrongly refused %6.2f  waited %6.1f  "
            "messages %6.1f\n",
            size.nodes, name, way_name, outcome.overshoot, outcome.wrongly_refused, outcome.waited,
            outcome.messages);
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
