/// @file
/// Records stored in the platform's log, and their encoding (cereal).
///
/// There are two kinds of streams: `configuration` holds `ConfigurationEntry`, and each job shard's
/// stream holds `ShardEntry`. Only the state machines (`configuration_state.h`, `shard_state.h`)
/// determine the effect of a record, by applying the entries in log order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace stoathold {

/// Identifies one append. A writer numbers its appends to a stream without gaps and sends the next
/// one only when the outcome of the previous one is known, so its sequence number identifies a
/// duplicate append.
struct AppendId {
  NodeId writer{};
  Incarnation incarnation{};
  std::uint64_t sequence = 0;

  auto operator<=>(const AppendId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(writer, incarnation, sequence);
  }
};

/// A change of one resource, conditional on `expected_version` (0: the resource must not exist).
struct ResourceChange {
  std::string kind;
  std::string name;
  Offset expected_version{};
  bool deleted = false;
  std::string body;  ///< The resource's specification as JSON text; empty when deleted.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, name, expected_version, deleted, body);
  }
};

/// One entry of the `configuration` stream.
struct ConfigurationEntry {
  AppendId id;
  ResourceChange change;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, change);
  }
};

/// One prompt of a batch job.
struct BatchItem {
  std::string custom_id;  ///< Identifier chosen by the caller; echoed in the result.
  std::string prompt;
  std::uint32_t max_tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(custom_id, prompt, max_tokens);
  }
};

/// Result of one item, identified by its index in the job.
struct ItemResult {
  std::uint32_t index = 0;
  std::string text;
  std::uint32_t tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, text, tokens);
  }
};

/// Parameters of a job as set by the caller; stored in the job's commit record.
struct JobSpecification {
  std::string tenant;
  std::string service;
  std::string priority_class;
  std::uint64_t deadline_unix_seconds = 0;  ///< 0: no deadline.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, service, priority_class, deadline_unix_seconds);
  }
};

/// Claims the shard's lease. Granted only if the current epoch is still `expected_epoch`.
struct LeaseClaimed {
  Epoch expected_epoch{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(expected_epoch);
  }
};

/// Renews a lease while its holder has nothing else to write.
struct LeaseRenewed {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Releases a lease, so that the next owner need not wait for its timeout.
struct LeaseReleased {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

/// A contiguous run of a job's items; `attempt` distinguishes submissions of the same job.
struct ItemsSubmitted {
  JobId job{};
  std::uint64_t attempt = 0;
  std::uint32_t first_index = 0;
  std::vector<BatchItem> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, attempt, first_index, items);
  }
};

/// Accepts a job, which is durable from this record on. Only the first commit of a job takes
/// effect.
struct JobCommitted {
  JobId job{};
  std::uint64_t attempt = 0;
  std::uint32_t item_count = 0;
  JobSpecification specification;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, attempt, item_count, specification);
  }
};

/// Cancels a job. Completions later in the log are ignored.
struct JobCancelled {
  JobId job{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

/// Results of items. The first result of an item in the log takes effect.
struct ItemsCompleted {
  JobId job{};
  std::vector<ItemResult> results;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, results);
  }
};

/// Claims the right to dispatch a request that is unsafe to repeat. The first claim of a key wins.
struct RequestClaimed {
  std::uint64_t key = 0;       ///< Hash of the tenant and the caller's idempotency key.
  std::uint64_t claimant = 0;  ///< Identifier of the claiming submission.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, claimant);
  }
};

/// Any record of a job shard's stream.
using ShardRecord = std::variant<LeaseClaimed, ItemsSubmitted, JobCommitted, JobCancelled,
                                 ItemsCompleted, RequestClaimed, LeaseRenewed, LeaseReleased>;

/// One entry of a shard's stream: records appended atomically under one lease epoch.
struct ShardEntry {
  AppendId id;
  Epoch epoch{};
  std::vector<ShardRecord> records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, epoch, records);
  }
};

/// Name of the stream that holds the configuration.
inline constexpr const char* kConfigurationStream = "configuration";

/// Returns the name of a job shard's stream.
std::string shard_stream_name(ShardId shard);
/// Returns the name of the stream that holds a job shard's snapshots.
std::string snapshot_stream_name(ShardId shard);

/// Encodes an entry for the log.
std::string encode(const ConfigurationEntry& entry);
std::string encode(const ShardEntry& entry);
/// Decodes an entry; returns false on malformed bytes and leaves `entry` unspecified.
bool decode(const std::string& bytes, ConfigurationEntry& entry);
bool decode(const std::string& bytes, ShardEntry& entry);

}  // namespace stoathold
