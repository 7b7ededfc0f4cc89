/// @file
/// Results of one job at their positions, and the progress of its items, as read from the log.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "jobs/job_records.h"
#include "store/record_log.h"

namespace stoathold {

/// A result; its position in the list of results never changes.
struct ListedResult {
  std::uint32_t item = 0;
  ItemState state = ItemState::kCompleted;
  std::string text;  ///< Incomplete while `has_text` is false.
  /// Location of a text that has not been read yet.
  struct UnreadText {
    std::string key;
    RecordOffset offset = 0;
    std::uint64_t bytes = 0;
    std::uint32_t part_count = 0;  ///< Number of its records, if it is stored in parts.
    std::uint32_t parts_read = 0;  ///< Leading parts that were read.

    [[nodiscard]] bool is_multipart() const { return part_count > 0; }
  };
  std::optional<UnreadText> unread_text{};

  [[nodiscard]] bool has_text() const { return !unread_text; }
};

/// The results of one job that have been read so far. Of several results of an item, the first in
/// log order counts; its rank among the counted results of the job is its position. Nodes that read
/// the same records therefore compute the same positions. Texts are added with their listings or
/// later.
class ListedResults {
 public:
  /// Adds the records found by a read of `unread_range` or of all records from `next_offset` on.
  /// Other reads may have been added since that read began.
  void add(ReadResult read);
  /// Adds texts of listed results; ignores other texts.
  void add_texts(std::vector<StoredRecord> records);
  /// Returns the texts not read yet of the results from a position on, ascending by offset.
  /// @param max_bytes stops once the texts from the position on reach this size; may be exceeded by
  /// the last text.
  [[nodiscard]] std::vector<ListedResult::UnreadText> unread_texts(std::uint64_t position,
                                                                   std::uint64_t max_bytes) const;
  /// Returns the key range of the results that may not have been read. Items are run approximately
  /// in order, so the items before the first unlisted one need not be read again.
  [[nodiscard]] KeyRange unread_range(const JobKey& key) const;
  /// Returns the offset after the last record of the partition that was read; 0: none was.
  [[nodiscard]] RecordOffset next_offset() const { return read_through_; }

  /// Returns the memory used by the results and the texts read so far, in bytes.
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  [[nodiscard]] const std::vector<ListedResult>& listed() const { return listed_; }
  [[nodiscard]] bool is_listed(std::uint32_t item) const { return listed_items_.contains(item); }

 private:
  void add_record(StoredRecord& record);
  void add_listing(const ResultListing& listing, const StoredRecord& record);
  /// Moves a result's text, or the parts of it that follow those read so far, out of `texts`.
  void add_text(ListedResult& listed, std::map<std::string, std::string>& texts);
  void add_parts(ListedResult& listed, std::map<std::string, std::string>& texts);

  std::vector<ListedResult> listed_;  ///< By position; only grows.
  std::set<std::uint32_t> listed_items_;
  std::uint32_t first_unlisted_ = 0;
  std::uint64_t bytes_ = 0;
  RecordOffset read_through_ = 0;  ///< All records before this offset have been added.
  StoredRecord pending_text_;      ///< A text whose listing follows; empty key: none.
};

/// Progress of the items of one job, by item.
using JobProgress = std::map<std::uint32_t, ItemProgress>;

/// Adds progress records of a job; of each item the most advanced progress is kept.
void add_progress(const std::vector<StoredRecord>& records, JobProgress& progress);

}  // namespace stoathold
