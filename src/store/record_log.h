/// @file
/// Interface to the platform's durable log: partitions of keyed records with offsets.
///
/// All state that must outlive a process is stored as records in this log. Implementations only map
/// calls to the store; retries and backoff are the callers' responsibility.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace stoathold {

/// Position of a record in its partition. Offsets start at 0 and have no gaps.
using RecordOffset = std::uint64_t;

/// One partition of a topic.
struct PartitionName {
  std::string topic;
  std::uint32_t partition = 0;

  auto operator<=>(const PartitionName&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A record to append. An empty value deletes the key.
struct KeyedRecord {
  std::string key;
  std::string value;
};

/// A record stored in the log. An empty value means that the key was deleted.
struct StoredRecord {
  RecordOffset offset = 0;
  std::string key;
  std::string value;
};

/// Outcome of a call to the log.
enum class LogStatus : std::uint8_t {
  kOk,
  kConflict,   ///< The partition does not end at the expected offset; no effect.
  kTruncated,  ///< The requested offsets are no longer retained.
  kNotDone,    ///< Refused or not sent; no effect, and a retry may succeed.
  kRejected,   ///< Invalid call; a retry would fail again.
  kUnknown,    ///< No response: it may have taken effect or may do so later.
};

/// Returns the name of a status for logs.
std::string_view to_string(LogStatus status);

/// Result of a read; records from `RecordLog::read` are in offset order.
struct ReadResult {
  LogStatus status = LogStatus::kUnknown;
  std::vector<StoredRecord> records;
  RecordOffset end = 0;  ///< Offset of the next record to be appended.
  /// When the log confirmed `end`, if that was not during this read but earlier, to another node.
  std::optional<TimePoint> confirmed = std::nullopt;
  /// Where to continue, if that is not after the last record: another node that answers omits
  /// superseded records, also at the end of what it has read.
  std::optional<RecordOffset> next = std::nullopt;
  /// If this lies beyond the offset read from, deletions in between may be missing: of keys that
  /// readers at that offset do not know, but readers behind it may.
  RecordOffset deletions_from = 0;
  /// Set if `read_newest` failed after its first page: the key after which it can resume. `records`
  /// and `end` then hold the content of the pages before the failure.
  std::string resume_after;
};

/// Result of an append.
struct AppendResult {
  LogStatus status = LogStatus::kUnknown;
  RecordOffset offset = 0;  ///< Offset of the first appended record.
  RecordOffset end = 0;     ///< End of the partition; also set with `kConflict`.
};

/// Range of keys for a read of newest records, in key order.
struct KeyRange {
  std::string after;    ///< Exclusive lower bound; empty: unbounded.
  std::string through;  ///< Inclusive upper bound; empty: unbounded.
};

/// Slots assigned to a member of a group, numbered from 0 across the group.
struct GroupAssignment {
  LogStatus status = LogStatus::kUnknown;
  std::uint64_t generation = 0;
  std::vector<std::uint32_t> slots;
};

/// Request of a member that joins a group or renews its membership.
struct GroupMember {
  std::string group;
  std::string name;
  Duration time_to_live{0};
  std::uint64_t generation = 0;  ///< Last generation received; 0 on the first call.
};

/// The members of a group.
struct MemberList {
  LogStatus status = LogStatus::kUnknown;
  std::vector<std::string> names;  ///< Unique, sorted.
};

/// Limits of the log that callers must respect.
struct LogLimits {
  std::uint64_t record_bytes = 0;    ///< Maximum size of a record.
  std::uint64_t call_bytes = 0;      ///< Maximum size of an append.
  std::uint32_t partitions = 1;      ///< Number of partitions per topic.
  std::uint32_t group_slots = 1;     ///< Number of slots that a group assigns.
  std::uint32_t job_topics = 1;      ///< Topics that each kind of job record is sharded across.
  Duration minimum_time_to_live{0};  ///< Minimum time to live of a group member.
};

/// Upper bound of a record's framing overhead: record length, key length and key.
inline constexpr std::uint64_t kRecordFramingBytes = 300;

/// Timeout for a page of newest records when a caller is waiting for the response.
inline constexpr Duration kPageTimeout = std::chrono::seconds(1);

/// Interface to the reads of the durable log. Used on one thread; calls may overlap.
class RecordReader {
 public:
  virtual ~RecordReader() = default;

  /// Reads records from offset `from` on, waiting up to `wait` for the first one.
  /// @param max_bytes maximum size of the response; it holds at least one record if one exists.
  virtual boost::asio::awaitable<ReadResult> read(PartitionName partition, RecordOffset from,
                                                  std::uint64_t max_bytes, Duration wait) = 0;

  /// Reads the newest record of each key in a range, in unspecified order. Records appended during
  /// the read may be missing; all those below `end` are included. When a page fails, the result
  /// keeps the pages before it, and the caller can resume after them.
  /// @param page_timeout timeout of each page; a page holds up to 1 MB.
  virtual boost::asio::awaitable<ReadResult> read_newest(PartitionName partition, KeyRange range,
                                                         Duration page_timeout) = 0;
};

/// Interface to the durable log. Used on one thread; calls may overlap.
class RecordLog : public RecordReader {
 public:
  /// Returns the limits that callers must respect.
  [[nodiscard]] virtual const LogLimits& limits() const = 0;

  /// Appends all records atomically.
  /// @param expected_end if set, the append fails with `kConflict` unless the partition ends there.
  virtual boost::asio::awaitable<AppendResult> append(PartitionName partition,
                                                      std::vector<KeyedRecord> records,
                                                      std::optional<RecordOffset> expected_end) = 0;

  /// Joins a group or renews the membership, and returns the assigned slots.
  virtual boost::asio::awaitable<GroupAssignment> join(GroupMember member) = 0;
  /// Lists the members of a group that hold slots.
  virtual boost::asio::awaitable<MemberList> members(std::string group) = 0;
  /// Leaves a group; its slots are reassigned to other members.
  virtual boost::asio::awaitable<LogStatus> leave(GroupMember member) = 0;
};

}  // namespace stoathold
