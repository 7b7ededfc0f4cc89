/// @file
/// Relay benchmark: compares streams through a node with streams through a minimal HTTP relay.
#pragma once

#include <cstdint>
#include <string>

namespace stoathold::bench {

/// Runs the baseline: an HTTP relay (Boost.Beast) that does not parse events. Serves until the
/// process is terminated.
int run_pass_through(const std::string& listen, const std::string& target);

/// Runs the upstream engine of both relays. It emits a token every `interval_us` microseconds; with
/// 0, as fast as the connection accepts them.
int run_token_source(const std::string& listen, std::uint32_t tokens, std::uint32_t interval_us);

/// Options of the load generator.
struct StreamLoad {
  std::string target;
  std::uint32_t streams = 32;     ///< Concurrent streams.
  std::uint32_t requests = 1000;  ///< Total number of requests.
  std::uint32_t pause_us = 0;     ///< Pause between consecutive requests of a stream.
};

/// Reads streams from `target` and prints one line of JSON: tokens, seconds and latencies.
/// @return 0, or 1 if a stream failed.
int run_stream_load(const StreamLoad& load);

}  // namespace stoathold::bench
