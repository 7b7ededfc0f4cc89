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
  /// Shards ignore entries that the lease holder did not write in the current epoch.
  bool fence_by_epoch = true;
  /// A repeated append of an entry has no effect.
  bool drop_repeated_appends = true;
  /// A job is created once, even if its submission is repeated.
  bool one_job_per_key = true;
  /// Items of a cancelled job do not complete.
  bool stop_cancelled_jobs = true;
  /// The first result of an item is kept.
  bool first_completion_wins = true;
  /// The first claimant of an idempotency key keeps it.
  bool first_claim_wins = true;
  /// A request that is unsafe to repeat claims its key first.
  bool claim_before_dispatch = true;
  /// No retry of a request that is unsafe to repeat once it was sent.
  bool no_retry_after_unknown = true;
  /// A resumed stream drops the tokens that the caller already has.
  bool drop_repeated_tokens = true;
  /// Configuration offsets only increase.
  bool monotonic_configuration_offsets = true;
  /// A change against another version than the current one is rejected.
  bool conflict_on_version = true;
  /// A draining node finishes its work before it exits.
  bool finish_before_exit = true;
  /// A leaving runner receives no new requests.
  bool skip_leaving_runners = true;
  /// Writes are acknowledged only after their entry is applied.
  bool acknowledge_only_applied = true;
  /// "Not run" is reported only if the request cannot have run.
  bool report_unknown_execution = true;
  /// Batch streams leave slots to online requests.
  bool online_before_batch = true;
};

/// Returns the process-wide switches. Written only before threads start, in tests.
PolicySwitches& policy_switches();

}  // namespace stoathold
