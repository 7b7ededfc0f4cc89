/// @file
/// The appends of a result whose text does not fit into one record.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job_records.h"
#include "store/record_log.h"

namespace stoathold {

/// Stores a text in several records, its parts, with one append each. The first append also
/// contains a manifest, from which the erasure of the job finds the parts even if the result never
/// counts. The last one also contains the listing, which makes the result count: until it is
/// durable, no reader sees any part.
///
/// A part that is appended twice has the same key and content. The listing gets a new key whenever
/// its append was not answered, since the position of a result is that of its first listing.
class MultipartResult {
 public:
  /// @param writer unique name, as for `result_record_key`.
  /// @param written_ms wall clock of the writer, since the epoch.
  /// @param part_bytes maximum bytes of a part.
  MultipartResult(const ItemResult& result, std::string_view writer, std::int64_t written_ms,
                  std::uint64_t part_bytes);

  /// Returns the records of the next append.
  /// @param result the result of the constructor.
  [[nodiscard]] std::vector<KeyedRecord> next_append(const ItemResult& result) const;
  /// Advances after the outcome of that append.
  void observe(LogStatus status);
  /// Returns whether all appends are durable, and with them the result.
  [[nodiscard]] bool is_complete() const { return next_part_ == part_count_; }

 private:
  std::uint64_t part_bytes_;
  std::uint32_t part_count_;
  std::string writer_;  ///< Names the parts.
  std::int64_t written_ms_;
  std::uint32_t next_part_ = 0;
  std::uint32_t listing_attempt_ = 0;
};

}  // namespace stoathold
