#include "jobs/multipart_result.h"

namespace stoathold {
namespace {

/// Value of a manifest, whose key says everything. Not empty, which would delete the key.
constexpr const char* kManifestValue = "1";

}  // namespace

MultipartResult::MultipartResult(const ItemResult& result, std::string_view writer,
                                 std::int64_t written_ms, std::uint64_t part_bytes)
    : part_bytes_(part_bytes),
      part_count_(static_cast<std::uint32_t>((result.text.size() + part_bytes - 1) / part_bytes)),
      writer_(multipart_writer(writer, part_count_)),
      written_ms_(written_ms) {}

std::vector<KeyedRecord> MultipartResult::next_append(const ItemResult& result) const {
  const std::string first_listing_key = result_record_key(result.job, result.item, writer_);
  const std::string text_key = text_record_key(first_listing_key, written_ms_);
  std::vector<KeyedRecord> records;
  if (next_part_ == 0) records.push_back({manifest_key(text_key), kManifestValue});
  records.push_back({text_part_key(text_key, next_part_),
                     result.text.substr(next_part_ * part_bytes_, part_bytes_)});
  if (next_part_ + 1 == part_count_) {
    const ResultListing listing{result.item, result.state, result.text.size(), written_ms_};
    records.push_back({retried_listing_key(first_listing_key, listing_attempt_), encode(listing)});
  }
  return records;
}

void MultipartResult::observe(LogStatus status) {
  if (status == LogStatus::kOk) ++next_part_;
  if (status == LogStatus::kUnknown) ++listing_attempt_;
}

}  // namespace stoathold
