/// @file
/// Interface to the platform's durable log: partitions of keyed records with offsets.
///
/// Everything that must outlast a process is a record here. Implementations only translate: they
/// neither retry nor wait after a failure; callers decide.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace stoathold {

/// Position of a record in its partition; the first record has 0 and there are no gaps.
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

/// A record as it lies in the log. An empty value says that the key was deleted.
struct StoredRecord {
  RecordOffset offset = 0;
  std::string key;
  std::string value;
};

/// How a call to the log ended.
enum class LogStatus : std::uint8_t {
  kOk,
  kConflict,   ///< The partition does not end where the caller expected; nothing was done.
  kTruncated,  ///< The offsets asked for are no longer kept.
  kNotDone,    ///< Refused or not sent; nothing was done, and it may be tried again later.
  kRejected,   ///< The call is wrong and would fail again.
  kUnknown,    ///< No answer: it may have been done, or may be done later.
};

/// Returns the status' name for logs.
std::string_view to_string(LogStatus status);

/// Records read in the order of their offsets.
struct ReadResult {
  LogStatus status = LogStatus::kUnknown;
  std::vector<StoredRecord> records;
  RecordOffset end = 0;  ///< Offset that the next appended record gets.
  /// Of a read of newest records that failed behind its first pages: the key behind which it may go
  /// on. `records` and `end` hold what these pages had.
  std::string resume_after;
};

/// Where records were appended.
struct AppendResult {
  LogStatus status = LogStatus::kUnknown;
  RecordOffset offset = 0;  ///< Of the first record.
  RecordOffset end = 0;     ///< Of the partition; also told with `kConflict`.
};

/// Where to start or stop reading the newest records of the keys, in the order of the keys.
struct KeyRange {
  std::string after;    ///< Only keys behind this one; empty for all.
  std::string through;  ///< No keys behind this one; empty for all.
};

/// What a member of a group was given. Slots are numbered from 0 over all of the group's slots.
struct GroupAssignment {
  LogStatus status = LogStatus::kUnknown;
  std::uint64_t generation = 0;
  std::vector<std::uint32_t> slots;
};

/// What a member says when it joins a group or stays in it.
struct GroupMember {
  std::string group;
  std::string name;
  Duration time_to_live{0};
  std::uint64_t generation = 0;  ///< The last one heard; 0 at first.
};

/// The members of a group.
struct MemberList {
  LogStatus status = LogStatus::kUnknown;
  std::vector<std::string> names;  ///< Each once, in order.
};

/// Sizes that callers must respect.
struct LogLimits {
  std::uint64_t record_bytes = 0;    ///< Most bytes of one record.
  std::uint64_t call_bytes = 0;      ///< Most bytes of one append.
  std::uint32_t partitions = 1;      ///< Partitions of each topic.
  std::uint32_t group_slots = 1;     ///< Slots that a group deals out.
  std::uint32_t job_topics = 1;      ///< Topics over which each kind of a job's records is spread.
  Duration minimum_time_to_live{0};  ///< Shortest time to live of a group's member.
};

/// Bytes of a record that are not the value, at most: its length, the key's length and the key.
inline constexpr std::uint64_t kRecordFramingBytes = 300;

/// How long a page of the newest records may take where somebody waits for the answer.
inline constexpr Duration kPagePatience = std::chrono::seconds(1);

/// The durable log. Used on one thread; calls may overlap.
class RecordLog {
 public:
  virtual ~RecordLog() = default;

  [[nodiscard]] virtual const LogLimits& limits() const = 0;

  /// Reads records from `from` on; waits up to `wait` for the first one.
  /// @param max_bytes most bytes to answer; at least one record is answered if one exists.
  virtual boost::asio::awaitable<ReadResult> read(PartitionName partition, RecordOffset from,
                                                  std::uint64_t max_bytes, Duration wait) = 0;

  /// Appends all records or none.
  /// @param expected_end if given, the append is done only while the partition ends there.
  virtual boost::asio::awaitable<AppendResult> append(PartitionName partition,
                                                      std::vector<KeyedRecord> records,
                                                      std::optional<RecordOffset> expected_end) = 0;

  /// Reads the newest record of each key in a range, in no promised order. Records appended while
  /// this runs may be missing; those below `end` are all there. When a page fails, the pages before
  /// it are kept in the result, and the caller may go on behind them.
  /// @param patience how long each page may take; a page holds up to 1 MB.
  virtual boost::asio::awaitable<ReadResult> read_newest(PartitionName partition, KeyRange range,
                                                         Duration patience) = 0;

  /// Joins a group or stays in it, and learns the slots held.
  virtual boost::asio::awaitable<GroupAssignment> join(GroupMember member) = 0;
  /// Lists the names of a group's members that hold slots.
  virtual boost::asio::awaitable<MemberList> members(std::string group) = 0;
  /// Leaves a group; its slots pass to others.
  virtual boost::asio::awaitable<LogStatus> leave(GroupMember member) = 0;
};

}  // namespace stoathold
