/// @file
/// `stoathold-bench`: load generators and servers of the benchmarks, which the benchmark scripts
/// start and whose output they read.
#include <CLI/CLI.hpp>

#include "bench/arrivals.h"
#include "bench/relay.h"

namespace {

using stoathold::bench::ArrivalOptions;
using stoathold::bench::StreamLoad;

/// Options of the relay benchmark's servers.
struct RelayOptions {
  std::string listen;
  std::string target;
  std::uint32_t tokens = 200;
  std::uint32_t interval_us = 0;
};

CLI::App* add_pass_through(CLI::App& app, RelayOptions& relay) {
  auto* pass = app.add_subcommand("pass-through", "A bare HTTP relay, the yardstick");
  pass->add_option("--listen", relay.listen)->required();
  pass->add_option("--target", relay.target)->required();
  return pass;
}

CLI::App* add_token_source(CLI::App& app, RelayOptions& relay) {
  auto* source = app.add_subcommand("token-source", "An engine that emits tokens at once");
  source->add_option("--listen", relay.listen)->required();
  source->add_option("--tokens", relay.tokens);
  source->add_option("--interval-us", relay.interval_us);
  return source;
}

void add_streams(CLI::App& app, StreamLoad& load) {
  auto* streams = app.add_subcommand("streams", "Reads streams and prints their figures");
  streams->add_option("--target", load.target)->required();
  streams->add_option("--streams", load.streams);
  streams->add_option("--requests", load.requests);
  streams->add_option("--pause-us", load.pause_us);
}

CLI::App* add_arrivals(CLI::App& app, ArrivalOptions& arrivals) {
  auto* open_loop = app.add_subcommand("arrivals", "Open-loop online load on nodes");
  open_loop->add_option("--targets", arrivals.targets)->required()->delimiter(',');
  open_loop->add_option("--seed", arrivals.seed);
  open_loop->add_option("--rate", arrivals.rate);
  open_loop->add_option("--review-rate", arrivals.review_rate);
  open_loop->add_option("--seconds", arrivals.seconds);
  open_loop->add_option("--burst-every-ms", arrivals.burst_every_ms);
  open_loop->add_option("--burst-size", arrivals.burst_size);
  open_loop->add_option("--link-delay-ms", arrivals.link_delay_ms);
  return open_loop;
}

}  // namespace

int main(int argc, char** argv) {
  namespace bench = stoathold::bench;
  CLI::App app{"Processes of stoathold's measurements; see bench/README.md."};
  app.require_subcommand(1);
  RelayOptions relay;
  StreamLoad load;
  ArrivalOptions arrivals;
  const auto* pass = add_pass_through(app, relay);
  const auto* source = add_token_source(app, relay);
  add_streams(app, load);
  const auto* open_loop = add_arrivals(app, arrivals);

  CLI11_PARSE(app, argc, argv);
  if (open_loop->parsed()) return bench::run_arrivals(arrivals);
  if (pass->parsed()) return bench::run_pass_through(relay.listen, relay.target);
  if (source->parsed()) {
    return bench::run_token_source(relay.listen, relay.tokens, relay.interval_us);
  }
  return bench::run_stream_load(load);
}
