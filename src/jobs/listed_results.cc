#include "jobs/listed_results.h"

#include <algorithm>

#include "base/event_log.h"

namespace stoathold {
namespace {

void log_malformed(const StoredRecord& record) {
  log_event(Event::kRecordMalformed,
            {{"key", record.key}, {"offset", std::to_string(record.offset)}});
}

}  // namespace

KeyRange ListedResults::unread_range(const JobKey& key) const {
  return result_key_range(key, first_unlisted_);
}

void ListedResults::add(ReadResult read) {
  // The pages of a read are no snapshot: only what lies in front of its end is known to be whole.
  std::erase_if(read.records, [&](const StoredRecord& record) {
    return record.offset >= read.end || record.offset < read_through_;
  });
  std::sort(read.records.begin(), read.records.end(),
            [](const StoredRecord& left, const StoredRecord& right) {
              return left.offset < right.offset;
            });
  for (const auto& record : read.records) add_record(record);
  read_through_ = std::max(read_through_, read.end);
  while (listed_items_.contains(first_unlisted_)) ++first_unlisted_;
}

void ListedResults::add_record(const StoredRecord& record) {
  ItemResult result;
  if (!decode(record.value, result)) {
    log_malformed(record);
    return;
  }
  if (!listed_items_.insert(result.item).second) return;
  bytes_ += sizeof(ListedResult) + result.text.size();
  listed_.push_back({result.item, result.state, std::move(result.text)});
}

void add_progress(const std::vector<StoredRecord>& records, JobProgress& progress) {
  for (const auto& record : records) {
    ItemProgress item;
    if (!decode(record.value, item)) {
      log_malformed(record);
      continue;
    }
    ItemProgress& known = progress[item.item];
    // A record that was written late may lie behind what is known.
    if (item.last_event < known.last_event && item.failures <= known.failures) continue;
    known = std::move(item);
  }
}

}  // namespace stoathold
