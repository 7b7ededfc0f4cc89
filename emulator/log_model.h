/// @file
/// In-memory model of the platform's metadata store, without its wire protocol: partitions of keyed
/// records, and groups that assign slots to members. Deterministic; the caller passes the time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "store/record_log.h"

namespace stoathold::emulator {

/// Maximum records on a page of newest records, and maximum bytes of their values. A page holds at
/// least one record, even if it is larger.
inline constexpr std::size_t kNewestPageRecords = 500;
inline constexpr std::uint64_t kNewestPageBytes = 1024UL * 1024;

/// A page of the newest records of the keys of a partition.
struct NewestPage {
  std::vector<StoredRecord> records;  ///< In key order.
  RecordOffset end = 0;               ///< End offset of the partition.
  bool more = false;                  ///< Whether keys follow after the last one.
};

/// Partitions of keyed topics. The history of a partition may be dropped, as by log compaction; the
/// newest record of each key is kept, unless it deletes the key.
class LogModel {
 public:
  /// Appends all records, or none (`kConflict`) if `expected_end` is set and is not the end offset
  /// of the partition. A record with an empty value deletes its key.
  AppendResult append(const PartitionName& name, const std::vector<KeyedRecord>& records,
                      std::optional<RecordOffset> expected_end);
  /// Reads records from an offset on: up to `max_bytes`, but at least one record if there is one.
  /// Returns `kTruncated` if the history at `from` has been dropped.
  [[nodiscard]] ReadResult read(const PartitionName& name, RecordOffset from,
                                std::uint64_t max_bytes) const;
  /// Reads the newest records of the keys in a range, in key order.
  [[nodiscard]] ReadResult read_newest(const PartitionName& name, const KeyRange& range) const;
  /// Reads a page of the newest records of the keys after `after`. As in the store's API, the range
  /// has no upper bound.
  [[nodiscard]] NewestPage read_newest_page(const PartitionName& name,
                                            const std::string& after) const;
  /// Drops the history of all partitions, as log compaction does.
  void drop_history();

 private:
  struct Partition {
    RecordOffset first = 0;
    std::vector<StoredRecord> history;
    std::map<std::string, StoredRecord> newest;

    [[nodiscard]] RecordOffset end() const { return first + history.size(); }
  };

  std::map<PartitionName, Partition> partitions_;
};

/// Assigns a fixed number of slots to the members of one group. A slot moves to its new holder once
/// the old holder has acknowledged the new generation, has left, or has not joined again within its
/// time to live.
class GroupModel {
 public:
  explicit GroupModel(std::uint32_t slots) : slots_(slots) {}

  /// Adds a member or renews its membership, and returns the slots that it holds.
  GroupAssignment join(const GroupMember& member, TimePoint now);
  void leave(const std::string& name, TimePoint now);
  /// Returns the slots that are held, each with its holder.
  [[nodiscard]] std::vector<std::pair<std::uint32_t, std::string>> owners() const;
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

 private:
  struct Member {
    TimePoint last_join{};
    Duration time_to_live{0};
  };

  void expire(TimePoint now);
  void assign_slots();

  std::uint32_t slots_;
  std::uint64_t generation_ = 0;
  std::map<std::string, Member> members_;
  std::map<std::uint32_t, std::string> slot_holders_;
  std::map<std::uint32_t, std::string> target_holders_;
};

}  // namespace stoathold::emulator
