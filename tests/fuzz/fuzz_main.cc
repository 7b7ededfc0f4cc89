/// @file
/// Stateful fuzzer: RapidCheck generates command sequences, the oracle checks every run, and
/// RapidCheck shrinks failing sequences.
///
/// `stoathold_fuzz --seed N --runs N [--size N] [--without MECHANISM...] [--expect-broken]`. A
/// failure prints the seed, the shrunk commands and the violated guarantees, and exits with 1.
#include <rapidcheck.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "core/policy_switches.h"
#include "fuzz/commands.h"

namespace {

using stoathold::PolicySwitches;
using stoathold::fuzz::Action;
using stoathold::fuzz::Command;

/// Mechanisms that `--without` can disable, to verify that the fuzzer detects their absence.
const std::map<std::string, bool PolicySwitches::*> kMechanisms{
    {"fence_by_epoch", &PolicySwitches::fence_by_epoch},
    {"drop_repeated_appends", &PolicySwitches::drop_repeated_appends},
    {"one_job_per_key", &PolicySwitches::one_job_per_key},
    {"stop_cancelled_jobs", &PolicySwitches::stop_cancelled_jobs},
    {"first_completion_wins", &PolicySwitches::first_completion_wins},
    {"first_claim_wins", &PolicySwitches::first_claim_wins},
    {"claim_before_dispatch", &PolicySwitches::claim_before_dispatch},
    {"no_retry_after_unknown", &PolicySwitches::no_retry_after_unknown},
    {"drop_repeated_tokens", &PolicySwitches::drop_repeated_tokens},
    {"configuration_strictly_upward", &PolicySwitches::monotonic_configuration_offsets},
    {"conflict_on_version", &PolicySwitches::conflict_on_version},
    {"finish_before_exit", &PolicySwitches::finish_before_exit},
    {"skip_leaving_runners", &PolicySwitches::skip_leaving_runners},
    {"answer_only_folded", &PolicySwitches::acknowledge_only_applied},
    {"honest_not_run", &PolicySwitches::report_unknown_execution},
};

/// Generates client commands and faults at a ratio of 3 to 2, so that faults hit ongoing work.
rc::Gen<Command> command_generator() {
  const auto client = rc::gen::inRange(0, static_cast<int>(Action::kCrash));
  const auto fault =
      rc::gen::inRange(static_cast<int>(Action::kCrash), stoathold::fuzz::kActionCount);
  const auto action = rc::gen::weightedOneOf<int>({{3, client}, {2, fault}});
  return rc::gen::map(
      rc::gen::tuple(
          action, rc::gen::inRange<std::uint32_t>(0, 12), rc::gen::inRange<std::uint32_t>(0, 64),
          rc::gen::weightedOneOf<std::uint32_t>({{3, rc::gen::inRange<std::uint32_t>(0, 200)},
                                                 {2, rc::gen::inRange<std::uint32_t>(200, 4000)}})),
      [](const std::tuple<int, std::uint32_t, std::uint32_t, std::uint32_t>& parts) {
        return Command{static_cast<Action>(std::get<0>(parts)), std::get<1>(parts),
                       std::get<2>(parts), std::get<3>(parts)};
      });
}

struct Totals {
  std::uint64_t runs = 0;
  std::uint64_t operations = 0;
  std::uint64_t faults = 0;
};

bool fuzz(Totals& totals) {
  return rc::check("every guarantee holds under any commands and faults", [&totals] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 30U).as("simulation seed");
    const auto commands =
        *rc::gen::container<std::vector<Command>>(command_generator()).as("commands");
    const auto result = stoathold::fuzz::run_commands(seed, commands);
    ++totals.runs;
    totals.operations += result.operations;
    totals.faults += result.faults;
    for (const auto& violation : result.violations) RC_LOG() << violation << "\n";
    RC_ASSERT(result.violations.empty());
  });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stateful fuzzing of a simulated cluster against a model."};
  std::uint64_t seed = 1;
  std::uint64_t runs = 200;
  std::uint64_t size = 60;
  std::vector<std::string> without;
  bool expect_broken = false;
  app.add_option("--seed", seed, "Seed of the command generator");
  app.add_option("--runs", runs, "Number of runs");
  app.add_option("--size", size, "Maximum number of commands in a run");
  app.add_option("--without", without, "Mechanisms to disable; a violation is then expected");
  app.add_flag("--expect-broken", expect_broken, "Exit with 0 only if a guarantee was violated");
  CLI11_PARSE(app, argc, argv);
  for (const auto& name : without) {
    const auto found = kMechanisms.find(name);
    if (found == kMechanisms.end()) {
      std::cerr << "unknown mechanism '" << name << "'\n";
      return 2;
    }
    stoathold::policy_switches().*(found->second) = false;
  }
  const std::string parameters = "seed=" + std::to_string(seed) +
                                 " max_success=" + std::to_string(runs) +
                                 " max_size=" + std::to_string(size) + " verbose_progress=0";
  setenv("RC_PARAMS", parameters.c_str(), 1);
  Totals totals;
  const bool held = fuzz(totals);
  std::cout << "fuzz: seed " << seed << ", " << totals.runs << " runs, " << totals.operations
            << " client operations, " << totals.faults
            << " faults: " << (held ? "every guarantee held" : "A GUARANTEE WAS VIOLATED") << "\n";
  return held == expect_broken ? 1 : 0;
}
