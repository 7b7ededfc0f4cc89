#include "jobs/listed_results.h"

#include <algorithm>
#include <map>
#include <utility>

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
  // The pages of a read are not a snapshot: only the records before its end offset are known to be
  // complete.
  std::erase_if(read.records, [&](const StoredRecord& record) {
    return record.offset >= read.end || record.offset < read_through_;
  });
  std::sort(read.records.begin(), read.records.end(),
            [](const StoredRecord& left, const StoredRecord& right) {
              return left.offset < right.offset;
            });
  for (auto& record : read.records) add_record(record);
  read_through_ = std::max(read_through_, read.end);
  while (listed_items_.contains(first_unlisted_)) ++first_unlisted_;
}

void ListedResults::add_record(StoredRecord& record) {
  if (is_text_record_key(record.key)) {
    pending_text_ = std::move(record);
    return;
  }
  if (is_manifest_key(record.key)) return;
  ResultListing listing;
  ItemResult result;
  if (decode(record.value, listing)) {
    add_listing(listing, record);
  } else if (!decode(record.value, result)) {
    log_malformed(record);
  } else if (listed_items_.insert(result.item).second) {
    bytes_ += sizeof(ListedResult) + result.text.size();
    listed_.push_back({result.item, result.state, std::move(result.text)});
  }
  pending_text_ = StoredRecord();
}

void ListedResults::add_listing(const ResultListing& listing, const StoredRecord& record) {
  if (!listed_items_.insert(listing.item).second) return;
  ListedResult& listed = listed_.emplace_back();
  listed.item = listing.item;
  listed.state = listing.state;
  bytes_ += sizeof(ListedResult);
  std::string text_key = text_record_key(record.key, listing.written_ms);
  if (pending_text_.key == text_key) {
    listed.text = std::move(pending_text_.value);
    bytes_ += listed.text.size();
    return;
  }
  bytes_ += text_key.size();
  // The text and its listing were appended together, the text first.
  const RecordOffset text_offset = record.offset > 0 ? record.offset - 1 : 0;
  listed.unread_text = {.key = std::move(text_key),
                        .offset = text_offset,
                        .bytes = listing.text_bytes,
                        .part_count = text_part_count(record.key)};
}

void ListedResults::add_texts(std::vector<StoredRecord> records) {
  std::map<std::string, std::string> texts;
  for (auto& record : records) texts.emplace(std::move(record.key), std::move(record.value));
  for (auto& listed : listed_) {
    if (listed.has_text()) continue;
    if (listed.unread_text->is_multipart()) {
      add_parts(listed, texts);
    } else {
      add_text(listed, texts);
    }
  }
}

void ListedResults::add_text(ListedResult& listed, std::map<std::string, std::string>& texts) {
  const auto found = texts.find(listed.unread_text->key);
  if (found == texts.end() || found->second.empty()) return;
  bytes_ += found->second.size();
  bytes_ -= found->first.size();
  listed.text = std::move(found->second);
  listed.unread_text.reset();
}

void ListedResults::add_parts(ListedResult& listed, std::map<std::string, std::string>& texts) {
  ListedResult::UnreadText& unread = *listed.unread_text;
  while (unread.parts_read < unread.part_count) {
    const auto part = texts.find(text_part_key(unread.key, unread.parts_read));
    if (part == texts.end() || part->second.empty()) return;
    bytes_ += part->second.size();
    listed.text += part->second;
    ++unread.parts_read;
  }
  bytes_ -= unread.key.size();
  listed.unread_text.reset();
}

std::vector<ListedResult::UnreadText> ListedResults::unread_texts(std::uint64_t position,
                                                                  std::uint64_t max_bytes) const {
  std::vector<ListedResult::UnreadText> texts;
  std::uint64_t bytes = 0;
  for (; position < listed_.size() && bytes < max_bytes; ++position) {
    const ListedResult& listed = listed_[position];
    bytes += listed.has_text() ? listed.text.size() : listed.unread_text->bytes;
    if (!listed.has_text()) texts.push_back(*listed.unread_text);
  }
  return texts;
}

void add_progress(const std::vector<StoredRecord>& records, JobProgress& progress) {
  for (const auto& record : records) {
    ItemProgress item;
    if (!decode(record.value, item)) {
      log_malformed(record);
      continue;
    }
    ItemProgress& known = progress[item.item];
    // A record that was written late may hold less progress than is already known.
    if (item.last_event < known.last_event && item.failures <= known.failures) continue;
    known = std::move(item);
  }
}

}  // namespace stoathold
