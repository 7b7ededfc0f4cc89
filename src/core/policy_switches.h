/// @file
/// Switches that disable single safety mechanisms for mutation tests, which check that the fuzzer
/// detects the missing mechanism.
///
/// All mechanisms are enabled except in the mutation tests of tests/fuzz. No setting, flag or
/// environment variable of the servers changes a switch.
#pragma once

namespace stoathold {

/// One flag per mechanism; true means enabled.
struct PolicySwitches {
  bool fence_by_epoch = true;
  bool drop_repeated_appends = true;
  bool one_job_per_key = true;
  bool stop_cancelled_jobs = true;
  bool first_completion_wins = true;
  bool first_claim_wins = true;
  bool claim_before_dispatch = true;
  bool no_retry_after_unknown = true;
  bool drop_repeated_tokens = true;
  bool configuration_strictly_upward = true;
  bool conflict_on_version = true;
  bool finish_before_exit = true;
  bool skip_leaving_runners = true;
  bool answer_only_folded = true;
  bool honest_not_run = true;
  bool online_before_batch = true;
};

/// Returns the process-wide switches. Written only before threads start, in tests.
PolicySwitches& policy_switches();

}  // namespace stoathold
