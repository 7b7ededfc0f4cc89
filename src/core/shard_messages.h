/// @file
/// Calls to the owner of a job shard, and its answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "core/log_records.h"

namespace stoathold {

/// Submits a job. Repeating the call with the same job id has no further effect.
struct SubmitJobCall {
  JobId job{};
  JobSpecification specification;
  std::vector<BatchItem> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, specification, items);
  }
};

/// Cancels a job; has no effect on a finished one.
struct CancelJobCall {
  JobId job{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

/// Reads the progress of a job.
struct JobStatusCall {
  JobId job{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

/// Reads the results of items [first_index, first_index + limit).
struct JobResultsCall {
  JobId job{};
  std::uint32_t first_index = 0;
  std::uint32_t limit = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, first_index, limit);
  }
};

/// Claims an idempotency key for one submission; the first claimant keeps it.
struct ClaimRequestCall {
  std::uint64_t key = 0;
  std::uint64_t claimant = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, claimant);
  }
};

using ShardRequest =
    std::variant<SubmitJobCall, CancelJobCall, JobStatusCall, JobResultsCall, ClaimRequestCall>;

/// A call to the owner of a shard.
struct ShardCall {
  std::uint64_t call = 0;  ///< Unique within the sender's incarnation.
  ShardId shard{};
  ShardRequest request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(call, shard, request);
  }
};

/// Progress of one job.
struct JobStatus {
  JobId job{};
  JobSpecification specification;
  std::uint32_t item_count = 0;
  std::uint32_t completed_count = 0;
  bool cancelled = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, specification, item_count, completed_count, cancelled);
  }
};

/// A page of results; items without a result are omitted.
struct JobResults {
  std::vector<ItemResult> results;
  std::uint32_t next_index = 0;  ///< First index of the next page; `item_count` at the end.
  std::uint32_t item_count = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(results, next_index, item_count);
  }
};

/// Answer to a `ClaimRequestCall`: whether the calling claimant holds the key.
struct ClaimResult {
  bool granted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(granted);
  }
};

/// Error answer to a call.
struct CallFailure {
  int code = 0;                ///< Value of an `ErrorCode`.
  std::uint8_t execution = 0;  ///< Value of an `Execution`.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(code, execution);
  }
};

using ShardAnswer = std::variant<CallFailure, JobStatus, JobResults, ClaimResult>;

/// Answer to a `ShardCall`.
struct ShardReply {
  std::uint64_t call = 0;
  ShardAnswer answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(call, answer);
  }
};

}  // namespace stoathold
