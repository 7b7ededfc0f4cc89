/// @file
/// Open-loop load generator for online requests: arrival times come from a seeded generator and do
/// not depend on earlier responses.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace stoathold::bench {

/// Options of the load generator.
struct ArrivalOptions {
  std::vector<std::string> targets;  ///< Nodes, `ip:port`; used round robin.
  std::uint64_t seed = 1;
  double rate = 30;        ///< Short requests per second, Poisson.
  double review_rate = 1;  ///< Long requests per second, Poisson.
  std::uint32_t seconds = 30;
  std::uint32_t burst_every_ms = 5000;  ///< Period of bursts of short requests.
  std::uint32_t burst_size = 40;
  std::uint32_t link_delay_ms =
      3;  ///< One-way delay that is added twice to each first-token latency.
};

/// Runs the load and prints one JSON object. Latencies are in milliseconds; the first-token latency
/// counts from the planned start.
int run_arrivals(const ArrivalOptions& options);

}  // namespace stoathold::bench
