/// @file
/// Records of batch jobs in the durable log, and their keys.
///
/// The records are keyed and stored in partitions of these topics:
/// - jobs, partitioned by the hash of the host: submissions, cancellations, finished marks and
///   progress counts. A submission is a conditional append: it succeeds only if the partition ends
///   at the offset that its writer has read to, so that each submission is checked against all
///   earlier ones.
/// - job-results, partitioned by the hash of the job: results of items. The order of the records is
///   the order of the results; the first result of an item counts. A long text has a separate
///   record, directly before the listing that refers to it, so that the order can be read from the
///   listings alone. A text above the size of a record is stored in several, its parts.
/// - job-progress, partitioned by the hash of the job: progress of running items, from which
///   another node can resume them.
/// - job-bodies, partitioned by the hash of the job: the requests of the items.
/// Each key except those of progress is written once, so that the offsets of results never change.
///
/// The log returns the newest records of keys in pages, and a page contains whatever records follow
/// its first key. Results, progress and requests are therefore spread over so many partitions that
/// few live jobs share one, and a read for a job returns little beyond the data of that job.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "routing/stream_origin.h"
#include "store/record_log.h"

namespace stoathold {

inline constexpr const char* kJobsTopic = "jobs";

/// Identifier of a job in the log, derived from host and id; unique over all hosts.
using JobKey = std::string;

/// Maximum length of a job id that fits into a record key.
inline constexpr std::size_t kMaxJobIdBytes = 128;

JobKey make_job_key(std::string_view host, std::string_view id);
/// Returns the partition of the jobs topic for the jobs of a host.
std::uint32_t jobs_partition(std::string_view host, std::uint32_t partitions);
/// Kinds of job data that are stored outside the jobs topic.
enum class JobData : std::uint8_t { kResults, kProgress, kRequests };

/// Returns the partition of a job's results, progress or requests.
/// @param topics number of topics over which the records of a kind are spread
/// (`JobSubmission::data_topics`).
/// @param partitions number of partitions of each topic.
PartitionName job_data_partition(JobData data, const JobKey& key, std::uint32_t topics,
                                 std::uint32_t partitions);
/// Returns the slot of the worker group that the job belongs to; the owner of the slot runs it.
std::uint32_t job_slot(const JobKey& key, std::uint32_t slots);

/// One item of a submission.
struct JobItem {
  std::string id;
  std::uint64_t tokens = 0;         ///< Prompt tokens plus maximum output tokens.
  RecordOffset request_offset = 0;  ///< Offset of the first record of its request.
  std::uint64_t request_bytes = 0;  ///< Total bytes of the records of its request.
  std::uint32_t request_records = 1;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, tokens, request_offset, request_bytes, request_records);
  }
};

/// An accepted job, as stored in the jobs topic.
struct JobSubmission {
  std::string id;
  std::string host;
  std::string path;  ///< Path that it was submitted to.
  std::string route;
  std::string tenant;             ///< Tenant that owns the job; empty: anonymous.
  std::int64_t submitted_ms = 0;  ///< Wall clock of the accepting node, since the epoch.
  std::vector<JobItem> items;
  /// Number of topics over which its results, progress and requests are spread. 0: one topic of
  /// each kind, as in records of the old format, which lack this field.
  std::uint32_t data_topics = 0;
  /// Part of the keys of its requests; unique for each submission attempt, so that the requests
  /// left by a refused attempt can be deleted even if another attempt for the job was accepted.
  /// Empty in records of the old format.
  std::string request_writer;
  /// Whether result texts may be stored in separate records. False in submissions written by nodes
  /// of an older version, which support only inline results and may run the job. Such nodes skip a
  /// submission in which this is set.
  bool split_results = false;

  [[nodiscard]] std::uint64_t tokens() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, host, path, route, tenant, submitted_ms, items, data_topics, request_writer);
  }
};

/// The request of an item.
struct ItemRequest {
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// Returns the memory that the request takes, in bytes.
  [[nodiscard]] std::uint64_t memory_bytes() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(path, headers, body);
  }
};

/// Final state of an item.
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

/// Maximum length of a text that is stored inline in its result record. A listing and the key of a
/// separate text record take about as many bytes.
inline constexpr std::size_t kMaxInlineTextBytes = 256;

/// A result whose text is stored in a separate record, directly before this one, or in several
/// records, whose number is part of the listing's key.
struct ResultListing {
  std::uint32_t item = 0;  ///< Index in the submission.
  ItemState state = ItemState::kCompleted;
  std::uint64_t text_bytes = 0;
  /// Wall clock of the writer, since the epoch; part of the key of the text.
  std::int64_t written_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(item, state, text_bytes, written_ms);
  }
};

/// Progress of an item, from which its run can be resumed.
struct ItemProgress {
  JobKey job;
  std::uint32_t item = 0;
  std::uint32_t failures = 0;    ///< Attempts that ended with an error of the runner.
  std::uint64_t last_event = 0;  ///< Id of the last event received; 0: none yet.
  std::string text;              ///< Text of the events through `last_event`.
  /// Service and software version that wrote the text; no other one can continue it. Empty without
  /// events, and in records of the old format.
  std::optional<StreamOrigin> origin;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, item, failures, last_event, text);
  }
};

/// Kinds of records in the jobs topic.
enum class JobRecordKind : std::uint8_t { kSubmitted, kCancelled, kFinished, kProgress };

/// Returns the key of a record of the jobs topic.
std::string jobs_record_key(JobRecordKind kind, const JobKey& key);
/// Parses a key of the jobs topic; returns nothing if it is malformed.
std::optional<std::pair<JobRecordKind, JobKey>> parse_jobs_record_key(std::string_view key);

/// Returns the key of an inline result or of a listing; `writer` makes it unique.
std::string result_record_key(const JobKey& key, std::uint32_t item, std::string_view writer);
/// Returns the key of the text of a listed result. The texts of all jobs sort before all listings,
/// so that pages read for listings contain no texts. The texts of a job sort approximately by time
/// of writing.
/// @param listing_key key of its listing.
std::string text_record_key(std::string_view listing_key, std::int64_t written_ms);
/// Returns whether a key of the results topics is that of a text.
bool is_text_record_key(std::string_view key);
/// Returns the writer's name in the listing key of a text that is stored in this many parts. Nodes
/// of an older version, which look for the text in one record, find none and answer that they
/// cannot read it.
std::string multipart_writer(std::string_view writer, std::uint32_t part_count);
/// Returns another key for the listing of the same parts.
/// @param attempt 0: the key itself.
std::string retried_listing_key(const std::string& listing_key, std::uint32_t attempt);
/// Returns the number of parts of a listing's text; 0: it is one record.
std::uint32_t text_part_count(std::string_view listing_key);
/// Returns the key of one part of a text; they sort by number.
/// @param text_key what `text_record_key` returns for the listing.
std::string text_part_key(std::string_view text_key, std::uint32_t part);
/// Returns the key of the manifest of a text in parts, which is among those of the job's results.
std::string manifest_key(std::string_view text_key);
/// Returns whether a key of the results topics is that of a manifest.
bool is_manifest_key(std::string_view key);
/// Returns the keys of all parts that a manifest stands for.
std::vector<std::string> part_keys_of_manifest(std::string_view key);
/// Returns the records of a result, to be written with one append.
/// @param split whether a long text may be stored in a separate record.
std::vector<KeyedRecord> result_records(const ItemResult& result, std::string_view writer,
                                        std::int64_t now_ms, bool split);
/// Returns the key of an item's progress.
std::string progress_record_key(const JobKey& key, std::uint32_t item);
/// Returns the job that a key of the results, progress or requests topics belongs to.
JobKey job_of_record_key(std::string_view key);
/// Returns the key of one record of an item's request.
/// @param writer `JobSubmission::request_writer`.
std::string request_record_key(const JobKey& key, std::string_view writer, std::uint32_t item,
                               std::uint32_t record);
/// Returns the range of all keys of a job in one of these topics, except keys of texts.
KeyRange job_key_range(const JobKey& key);
/// Returns the range of the keys of a job's results, starting at an item.
KeyRange result_key_range(const JobKey& key, std::uint32_t first_item);
/// Returns the range of the keys of a job's progress.
KeyRange progress_key_range(const JobKey& key);

std::string encode(const JobSubmission& submission);
std::string encode(const ItemRequest& request);
std::string encode(const ItemResult& result);
std::string encode(const ResultListing& listing);
std::string encode(const ItemProgress& progress);
std::string encode_tokens(std::uint64_t tokens);
/// The decoders return false if the bytes are malformed.
bool decode(const std::string& bytes, JobSubmission& submission);
bool decode(const std::string& bytes, ItemRequest& request);
bool decode(const std::string& bytes, ItemResult& result);
bool decode(const std::string& bytes, ResultListing& listing);
bool decode(const std::string& bytes, ItemProgress& progress);
bool decode_tokens(const std::string& bytes, std::uint64_t& tokens);

}  // namespace stoathold
