/// @file
/// What the log holds of one job's items: results in their positions, and how far runs came.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "jobs/job_records.h"
#include "store/record_log.h"

namespace stoathold {

/// A result at its fixed position.
struct ListedResult {
  std::uint32_t item = 0;
  ItemState state = ItemState::kCompleted;
  std::string text;
  /// Where its text lies while that was not read yet.
  struct UnreadText {
    std::string key;
    RecordOffset offset = 0;
    std::uint64_t bytes = 0;
  };
  std::optional<UnreadText> unread_text{};

  [[nodiscard]] bool has_text() const { return !unread_text; }
};

/// The results of one job as far as they were read. Of an item's results the first in the order of
/// the log counts, and its place among the job's first results is its position: so every node that
/// reads the same records comes to the same positions. Texts are taken in with their listings or
/// later.
class ListedResults {
 public:
  /// Takes in what a read of `unread_range`, or of all records from `next_offset` on, found,
  /// whether or not other reads came between.
  void add(ReadResult read);
  /// Takes in texts of results that are listed; others are passed over.
  void add_texts(std::vector<StoredRecord> records);
  /// Returns the texts that a reader from a position on lacks, ascending by offset.
  /// @param most_bytes of texts after which it goes no further, but for one text alone.
  [[nodiscard]] std::vector<ListedResult::UnreadText> unread_texts(std::uint64_t position,
                                                                   std::uint64_t max_bytes) const;
  /// Keys that a read must ask for: a job's items are run about in their order, so those in front
  /// of the first one that is not listed need not be read again.
  [[nodiscard]] KeyRange unread_range(const JobKey& key) const;
  /// Offset behind all records of the partition that are taken in; 0: nothing was read yet.
  [[nodiscard]] RecordOffset next_offset() const { return read_through_; }

  /// Bytes of the results that are listed, as far as they are here.
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  [[nodiscard]] const std::vector<ListedResult>& listed() const { return listed_; }
  [[nodiscard]] bool is_listed(std::uint32_t item) const { return listed_items_.contains(item); }

 private:
  void add_record(StoredRecord& record);
  void add_listing(const ResultListing& listing, const StoredRecord& record);

  std::vector<ListedResult> listed_;  ///< In the order of positions; only grows.
  std::set<std::uint32_t> listed_items_;
  std::uint32_t first_unlisted_ = 0;
  std::uint64_t bytes_ = 0;
  RecordOffset read_through_ = 0;  ///< All records in front of this offset are taken in.
  StoredRecord pending_text_;      ///< A text whose listing comes next; else without a key.
};

/// How far the items of one job came, by item.
using JobProgress = std::map<std::uint32_t, ItemProgress>;

/// Takes the records of a job's progress in; the furthest of an item counts.
void add_progress(const std::vector<StoredRecord>& records, JobProgress& progress);

}  // namespace stoathold
