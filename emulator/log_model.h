/// @file
/// The platform's metadata store without its wire: partitions of keyed records, and groups that
/// deal slots. Deterministic; time is passed in.
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

/// Most records on a page of the newest ones, and most bytes of their values. A page holds one
/// record at least.
inline constexpr std::size_t kNewestPageRecords = 500;
inline constexpr std::uint64_t kNewestPageBytes = 1024UL * 1024;

/// A page of the newest records of a partition's keys.
struct NewestPage {
  std::vector<StoredRecord> records;  ///< In the order of the keys.
  RecordOffset end = 0;               ///< Of the partition.
  bool more = false;                  ///< Keys follow behind the last one.
};

/// Partitions of keyed topics. A partition's history may be dropped; the newest record of each key
/// stays, unless it deletes the key.
class LogModel {
 public:
  /// Appends all records, or none if the partition does not end at `expected_end`.
  AppendResult append(const PartitionName& name, const std::vector<KeyedRecord>& records,
                      std::optional<RecordOffset> expected_end);
  /// Reads from an offset on; at least one record if there is one.
  [[nodiscard]] ReadResult read(const PartitionName& name, RecordOffset from,
                                std::uint64_t max_bytes) const;
  /// Reads the newest records of the keys in a range, in the order of the keys.
  [[nodiscard]] ReadResult read_newest(const PartitionName& name, const KeyRange& range) const;
  /// Reads a page of the newest records, of the keys behind `after`: the store knows no last key.
  [[nodiscard]] NewestPage read_newest_page(const PartitionName& name,
                                            const std::string& after) const;
  /// Drops the history of all partitions.
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

/// Deals a fixed number of slots to the members of one group. A slot passes on when its holder has
/// said that it heard of the change, has left, or has been silent for its time to live.
class GroupModel {
 public:
  explicit GroupModel(std::uint32_t slots) : slots_(slots) {}

  GroupAssignment join(const GroupMember& member, TimePoint now);
  void leave(const std::string& name, TimePoint now);
  /// Pairs of slot and member, for slots that are held.
  [[nodiscard]] std::vector<std::pair<std::uint32_t, std::string>> owners() const;
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

 private:
  struct Member {
    TimePoint last_join{};
    Duration time_to_live{0};
  };

  void expire(TimePoint now);
  void deal();

  std::uint32_t slots_;
  std::uint64_t generation_ = 0;
  std::map<std::string, Member> members_;
  std::map<std::uint32_t, std::string> holders_;
  std::map<std::uint32_t, std::string> targets_;
};

}  // namespace stoathold::emulator
