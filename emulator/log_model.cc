#include "emulator/log_model.h"

#include <algorithm>

namespace stoathold::emulator {

AppendResult LogModel::append(const PartitionName& name, const std::vector<KeyedRecord>& records,
                              std::optional<RecordOffset> expected_end) {
  Partition& partition = partitions_[name];
  AppendResult result;
  result.end = partition.end();
  if (expected_end && *expected_end != partition.end()) {
    result.status = LogStatus::kConflict;
    return result;
  }
  result.status = LogStatus::kOk;
  result.offset = partition.end();
  for (const auto& record : records) {
    const StoredRecord stored{partition.end(), record.key, record.value};
    partition.history.push_back(stored);
    if (record.value.empty()) {
      partition.newest.erase(record.key);
    } else {
      partition.newest[record.key] = stored;
    }
  }
  result.end = partition.end();
  return result;
}

ReadResult LogModel::read(const PartitionName& name, RecordOffset from,
                          std::uint64_t max_bytes) const {
  ReadResult result;
  const auto found = partitions_.find(name);
  result.status = LogStatus::kOk;
  if (found == partitions_.end()) return result;
  const Partition& partition = found->second;
  result.end = partition.end();
  if (from < partition.first) {
    result.status = LogStatus::kTruncated;
    return result;
  }
  std::uint64_t bytes = 0;
  for (RecordOffset offset = from; offset < partition.end(); ++offset) {
    const StoredRecord& record = partition.history[offset - partition.first];
    bytes += record.key.size() + record.value.size();
    if (bytes > max_bytes && !result.records.empty()) break;
    result.records.push_back(record);
  }
  return result;
}

ReadResult LogModel::read_newest(const PartitionName& name, const KeyRange& range) const {
  ReadResult result;
  result.status = LogStatus::kOk;
  const auto found = partitions_.find(name);
  if (found == partitions_.end()) return result;
  result.end = found->second.end();
  for (const auto& [key, record] : found->second.newest) {
    if (key <= range.after) continue;
    if (!range.through.empty() && key > range.through) break;
    result.records.push_back(record);
  }
  return result;
}

NewestPage LogModel::read_newest_page(const PartitionName& name, const std::string& after) const {
  NewestPage page;
  const auto found = partitions_.find(name);
  if (found == partitions_.end()) return page;
  const Partition& partition = found->second;
  page.end = partition.end();
  std::uint64_t bytes = 0;
  auto next = partition.newest.upper_bound(after);
  for (; next != partition.newest.end(); ++next) {
    bytes += next->second.value.size();
    const bool full = page.records.size() == kNewestPageRecords || bytes > kNewestPageBytes;
    if (full && !page.records.empty()) break;
    page.records.push_back(next->second);
  }
  page.more = next != partition.newest.end();
  return page;
}

void LogModel::drop_history() {
  for (auto& [name, partition] : partitions_) {
    partition.first = partition.end();
    partition.history.clear();
  }
}

void GroupModel::expire(TimePoint now) {
  const auto expired = std::erase_if(members_, [now](const auto& entry) {
    return now - entry.second.last_join > entry.second.time_to_live;
  });
  if (expired > 0) assign_slots();
}

void GroupModel::assign_slots() {
  ++generation_;
  target_holders_.clear();
  std::erase_if(slot_holders_, [&](const auto& entry) { return !members_.contains(entry.second); });
  if (members_.empty()) return;
  auto next = members_.begin();
  for (std::uint32_t slot = 0; slot < slots_; ++slot) {
    target_holders_[slot] = next->first;
    if (++next == members_.end()) next = members_.begin();
  }
}

GroupAssignment GroupModel::join(const GroupMember& member, TimePoint now) {
  expire(now);
  const bool added = !members_.contains(member.name);
  members_[member.name] = {now, member.time_to_live};
  if (added) assign_slots();
  GroupAssignment assignment;
  assignment.status = LogStatus::kOk;
  for (std::uint32_t slot = 0; slot < slots_; ++slot) {
    const bool assigned = target_holders_[slot] == member.name;
    const auto holder = slot_holders_.find(slot);
    const bool held = holder != slot_holders_.end() && holder->second == member.name;
    if (held && !assigned && member.generation >= generation_) slot_holders_.erase(holder);
    if (assigned && holder == slot_holders_.end()) slot_holders_[slot] = member.name;
    const auto now_held = slot_holders_.find(slot);
    const bool listed =
        assigned && now_held != slot_holders_.end() && now_held->second == member.name;
    if (listed) assignment.slots.push_back(slot);
  }
  assignment.generation = generation_;
  return assignment;
}

void GroupModel::leave(const std::string& name, TimePoint now) {
  expire(now);
  if (members_.erase(name) > 0) assign_slots();
}

std::vector<std::pair<std::uint32_t, std::string>> GroupModel::owners() const {
  return {slot_holders_.begin(), slot_holders_.end()};
}

}  // namespace stoathold::emulator
