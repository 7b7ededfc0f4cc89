/// @file
/// Tunable parameters of the core. The default times suit links with a latency of a few
/// milliseconds and occasional outages.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace stoathold {

/// Tunable parameters; production uses the defaults.
struct Knobs {
  /// Period of heartbeats within a zone.
  Duration heartbeat_period = std::chrono::milliseconds(1000);
  /// Time without a heartbeat after which a member is suspect and gets no new work.
  Duration suspect_timeout = std::chrono::milliseconds(2400);
  /// Time without a heartbeat after which a member is dead and its shards are reassigned.
  Duration dead_timeout = std::chrono::milliseconds(2800);
  /// Time for which a dead member is kept in the table, so that old digests do not revive it.
  Duration dead_member_retention = std::chrono::minutes(5);
  /// Period of summaries between relays of different zones. In each period a relay sends its
  /// summary to half of the relays of every other zone, alternating, so that each of those relays
  /// receives one summary per period, from one of the zone's two relays.
  Duration summary_period = std::chrono::milliseconds(1000);
  /// Time without a message from a zone after which the whole zone is unreachable.
  Duration zone_unreachable_timeout = std::chrono::milliseconds(2900);
  /// Minimum time between two heartbeats, or two summaries, that a change makes due early. Without
  /// it the start of a large fleet causes a message storm: each change would make every relay and
  /// member send at once.
  Duration min_early_send_interval = std::chrono::milliseconds(300);
  /// Relays per zone.
  std::uint32_t relays_per_zone = 2;
  /// Maximum number of pending-work entries in a heartbeat or summary.
  std::uint32_t advertised_work_limit = 4;

  /// Number of job shards; must not change during the lifetime of a fleet's log.
  std::uint32_t shard_count = 32;
  /// Period at which an idle lease holder renews its lease.
  Duration lease_renew_period = std::chrono::milliseconds(600);
  /// Time without log entries of the lease holder after which another node claims the lease.
  Duration lease_timeout = std::chrono::milliseconds(1000);
  /// Time for which a node must be the designated owner of a shard before it claims the lease.
  Duration ownership_settle_time = std::chrono::milliseconds(300);
  /// Period at which a follower or holder reads its shard's stream.
  Duration shard_poll_period = std::chrono::milliseconds(400);
  /// Time after which an append or read without a response is sent again.
  Duration log_retry_period = std::chrono::milliseconds(400);
  /// Time without a response to an append or other log call after which the log is considered down.
  Duration log_down_timeout = std::chrono::milliseconds(2000);
  /// Number of entries applied between two snapshots of a shard.
  std::uint32_t snapshot_interval = 512;
  /// Maximum number of items in one log record.
  std::uint32_t items_per_record = 100;
  /// Maximum number of records in one log entry.
  std::uint32_t records_per_entry = 64;
  /// Maximum number of completions buffered for the log. While it is reached, no new items are
  /// assigned.
  std::uint32_t max_buffered_completions = 4096;
  /// Time after which an assigned item that is not renewed is assigned again.
  Duration assignment_timeout = std::chrono::seconds(15);
  /// Period at which a runner owner renews the items it works on.
  Duration assignment_renew_period = std::chrono::seconds(4);
  /// Maximum number of loaded item runs cached at a shard owner.
  std::uint32_t max_loaded_runs = 32;

  /// Period at which relays read the configuration stream.
  Duration configuration_poll_period = std::chrono::milliseconds(1000);
  /// Maximum number of recent configuration entries kept for peers that lag behind.
  std::uint32_t max_recent_configuration_entries = 256;

  /// Initial and maximum wait before a call to a shard owner is sent again (exponential back-off).
  Duration call_retry_period = std::chrono::milliseconds(250);
  Duration max_call_retry_period = std::chrono::milliseconds(2000);
  /// Time after which a call fails.
  Duration call_timeout = std::chrono::seconds(10);

  /// Retry budget earned per admitted request, and its maximum per tenant.
  double retry_budget_ratio = 0.1;
  double retry_budget_capacity = 5.0;
  /// Maximum number of dispatches of a request that is safe to repeat.
  std::uint32_t max_dispatches = 4;
  /// Initial wait before a retry; doubled for each further retry, with jitter.
  Duration retry_backoff = std::chrono::milliseconds(20);
  /// Consecutive failures after which a runner is ejected, and the initial and maximum duration of
  /// an ejection (doubled each time).
  std::uint32_t eject_after_failures = 3;
  Duration eject_time = std::chrono::seconds(2);
  Duration max_eject_time = std::chrono::seconds(60);
  /// Age after which a runner's load report is ignored.
  Duration load_report_ttl = std::chrono::seconds(5);
  /// Maximum load by which the runner with prefix affinity may exceed the alternative runner and
  /// still be chosen.
  std::uint32_t max_affinity_load_difference = 4;
  /// Deadline of a request that does not specify one.
  Duration default_deadline = std::chrono::seconds(60);

  /// Increase of a runner's batch stream limit per period.
  std::uint32_t batch_limit_increment = 2;
  Duration batch_limit_increase_period = std::chrono::milliseconds(100);
  /// Time for which an announced online start is added to the reported load. Load reports lag
  /// behind such starts.
  Duration online_notice_window = std::chrono::milliseconds(400);
  /// Half-life of the learned slot reserve for online bursts.
  Duration reserve_half_life = std::chrono::seconds(20);
  /// Period at which a runner owner pulls batch items for free slots.
  Duration pull_period = std::chrono::milliseconds(50);
};

}  // namespace stoathold
