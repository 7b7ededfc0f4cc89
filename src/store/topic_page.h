/// @file
/// Message by which a node passes records of a followed topic on to another node.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "store/record_log.h"

namespace stoathold {

/// Records of a partition as known by a node.
struct TopicPage {
  std::vector<StoredRecord> records;  ///< In offset order, without superseded ones.
  RecordOffset end = 0;               ///< Last known end of the partition at the log.
  /// When the log confirmed to the node that there are no more records, relative to the arrival of
  /// the request; negative: before it.
  std::int64_t confirmed_ms = 0;
  /// Where the reader continues. Not beyond what the sender has read, which `end` may be.
  RecordOffset next = 0;
  /// Offset from which on the sender knows all deletions.
  RecordOffset deletions_from = 0;
};

std::string encode_page(const TopicPage& page);
/// Decodes a page.
/// @return false if the bytes are malformed.
bool decode_page(const std::string& bytes, TopicPage& page);

/// Path of the call between nodes; its query has `topic`, `part`, `from`, `max_bytes` and
/// `wait_ms`.
inline constexpr std::string_view kTopicPath = "/peer/topic";
/// Longest wait of a reader at a node that has not read the partition to its end yet. Nodes that
/// start together read in a chain.
inline constexpr Duration kMaxLoadWait = std::chrono::milliseconds(500);
/// Status of the answer of a node that has not read the partition yet, but is about to.
inline constexpr int kStatusLoading = 202;

}  // namespace stoathold
