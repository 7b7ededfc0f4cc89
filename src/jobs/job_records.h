/// @file
/// Records of batch jobs in the durable log, and the keys under which they lie.
///
/// Keyed records in partitions of topics:
/// - jobs, by the hash of the host: submissions, ends, finished marks, progress counts. A
///   submission is appended on the condition that the partition ends where its writer has read to,
///   so that every submission is judged against all before it.
/// - results, by the hash of the job: results of items. The order of the records is the order of
///   the results; of an item's results the first counts. A long text lies in a record of its own,
///   in front of the listing that names it: who needs the order reads the listings alone.
/// - progress, by the hash of the job: how far running items came, so that another node goes on
///   there.
/// - bodies, by the hash of the job: the requests that the items are.
/// A key is written once (but for progress), so that the offsets of results never change.
///
/// The log answers the newest records of keys in pages, and a page holds whatever lies behind the
/// first key. So results, progress and bodies are spread over so many partitions that few live jobs
/// share one: what is read for a job is about what the job has.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "store/record_log.h"

namespace stoathold {

inline constexpr const char* kJobsTopic = "jobs";

/// Identity of a job in the log: made of host and id, unique over all hosts.
using JobKey = std::string;

/// Longest job id that fits into a record's key.
inline constexpr std::size_t kMaxJobIdBytes = 128;

JobKey make_job_key(std::string_view host, std::string_view id);
/// Partition of the jobs topic.
std::uint32_t jobs_partition(std::string_view host, std::uint32_t partitions);
/// What the log holds of a job beside its record of the jobs topic.
enum class JobData : std::uint8_t { kResults, kProgress, kRequests };

/// Returns the partition of a job's results, progress or bodies.
/// @param topics over which the job's records of a kind are spread (`JobSubmission::data_topics`).
/// @param partitions of each topic.
PartitionName job_data_partition(JobData data, const JobKey& key, std::uint32_t topics,
                                 std::uint32_t partitions);
/// Slot of the workers' group that runs the job.
std::uint32_t job_slot(const JobKey& key, std::uint32_t slots);

/// One item as a submission lists it.
struct JobItem {
  std::string id;
  std::uint64_t tokens = 0;         ///< Prompt and most output.
  RecordOffset request_offset = 0;  ///< Of the first record of its request.
  std::uint64_t request_bytes = 0;  ///< Of all records of its request.
  std::uint32_t request_records = 1;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, tokens, request_offset, request_bytes, request_records);
  }
};

/// A job that was accepted.
struct JobSubmission {
  std::string id;
  std::string host;
  std::string path;  ///< It was submitted to.
  std::string route;
  std::string tenant;             ///< Whose job it is; empty: anonymous.
  std::int64_t submitted_ms = 0;  ///< Wall clock of the accepting node, since the epoch.
  std::vector<JobItem> items;
  /// Topics over which its results, progress and bodies are spread. 0: one shared topic of each
  /// kind, as in records that were written before jobs were spread.
  std::uint32_t data_topics = 0;
  /// Part of the keys of its items' requests, another for each try to submit the job: so what a
  /// refused try has left can be deleted, though the job was accepted from another one. Empty in
  /// records that were written before.
  std::string request_writer;
  /// Whether texts of results may lie in records of their own. Not in submissions that were written
  /// before: nodes of that time may run the job, and know whole results only. They pass over a
  /// submission that says so.
  bool split_results = false;

  [[nodiscard]] std::uint64_t tokens() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, host, path, route, tenant, submitted_ms, items, data_topics, request_writer);
  }
};

/// The request that an item is.
struct ItemRequest {
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(path, headers, body);
  }
};

/// How an item ended.
enum class ItemState : std::uint8_t { kCompleted, kDeadLettered };

/// The result of an item.
struct ItemResult {
  JobKey job;
  std::uint32_t item = 0;  ///< Index in the submission.
  ItemState state = ItemState::kCompleted;
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, item, state, text);
  }
};

/// Longest text that lies with its result in one record. A listing and the key of a text take about
/// as many bytes.
inline constexpr std::size_t kMostWholeTextBytes = 256;

/// A result whose text lies in a record of its own, in front of this one.
struct ResultListing {
  std::uint32_t item = 0;  ///< Index in the submission.
  ItemState state = ItemState::kCompleted;
  std::uint64_t text_bytes = 0;
  std::int64_t written_ms =
      0;  ///< Wall clock of the writer, since the epoch: part of the text's key.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(item, state, text_bytes, written_ms);
  }
};

/// How far an item's run came before it was given back.
struct ItemProgress {
  JobKey job;
  std::uint32_t item = 0;
  std::uint32_t failures = 0;    ///< Runs that ended with the runner's own error.
  std::uint64_t last_event = 0;  ///< 0: nothing yet.
  std::string text;              ///< Of the events up to it.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, item, failures, last_event, text);
  }
};

/// What a record of the jobs topic says.
enum class JobRecordKind : std::uint8_t { kSubmitted, kCancelled, kFinished, kProgress };

/// Key of a record of the jobs topic.
std::string jobs_record_key(JobRecordKind kind, const JobKey& key);
/// Parses such a key; nothing if it is not one.
std::optional<std::pair<JobRecordKind, JobKey>> parse_jobs_record_key(std::string_view key);

/// Key of a result, whole or listed; `writer` makes it unique.
std::string result_record_key(const JobKey& key, std::uint32_t item, std::string_view writer);
/// Key of the text of a listed result. The texts of all jobs lie in front of all listings, so that
/// what is read for listings holds none; those of a job lie about in the order of their writing.
/// @param listing_key key of its listing.
std::string text_record_key(std::string_view listing_key, std::int64_t written_ms);
/// Whether a key of the results is that of a text.
bool is_text_record_key(std::string_view key);
/// Returns the records of a result, to be appended together.
/// @param split whether a long text may lie in a record of its own.
std::vector<KeyedRecord> result_records(const ItemResult& result, std::string_view writer,
                                        std::int64_t now_ms, bool split);
/// Key of an item's progress.
std::string progress_record_key(const JobKey& key, std::uint32_t item);
/// The job that a key of the results, the progress or the bodies belongs to.
JobKey job_of_record_key(std::string_view key);
/// Key of one record of an item's request.
/// @param writer `JobSubmission::request_writer`.
std::string request_record_key(const JobKey& key, std::string_view writer, std::uint32_t item,
                               std::uint32_t record);
/// The range of all of a job's keys in one of these topics.
KeyRange job_key_range(const JobKey& key);
/// Returns the range of the keys of a job's results, from an item on.
KeyRange result_key_range(const JobKey& key, std::uint32_t first_item);
/// Returns the range of the keys of a job's progress.
KeyRange progress_key_range(const JobKey& key);

std::string encode(const JobSubmission& submission);
std::string encode(const ItemRequest& request);
std::string encode(const ItemResult& result);
std::string encode(const ResultListing& listing);
std::string encode(const ItemProgress& progress);
std::string encode_tokens(std::uint64_t tokens);
/// Decoders return false if the bytes are malformed.
bool decode(const std::string& bytes, JobSubmission& submission);
bool decode(const std::string& bytes, ItemRequest& request);
bool decode(const std::string& bytes, ItemResult& result);
bool decode(const std::string& bytes, ResultListing& listing);
bool decode(const std::string& bytes, ItemProgress& progress);
bool decode_tokens(const std::string& bytes, std::uint64_t& tokens);

}  // namespace stoathold
