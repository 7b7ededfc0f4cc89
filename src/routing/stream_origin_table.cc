#include "routing/stream_origin_table.h"

#include <algorithm>

namespace stoathold {

void StreamOriginTable::record(StreamKey stream, const Entry& entry, TimePoint now) {
  drop_expired(now);
  const auto [found, inserted] = entries_.try_emplace(stream, entry);
  Entry& stored = found->second;
  if (inserted) {
    order_.push_back(stream);
    if (entries_.size() > capacity_) evict_oldest();
    return;
  }
  const bool replaces_expired = stored.expires <= now;
  if (replaces_expired) {
    stored = entry;
    return;
  }
  stored.conflicting |= entry.conflicting || stored.origin != entry.origin;
  stored.expires = std::max(stored.expires, entry.expires);
}

const StreamOriginTable::Entry* StreamOriginTable::find(StreamKey stream, TimePoint now) const {
  const auto found = entries_.find(stream);
  if (found == entries_.end() || found->second.expires <= now) return nullptr;
  return &found->second;
}

/// Entries expire approximately in the order in which they were recorded.
void StreamOriginTable::drop_expired(TimePoint now) {
  while (!order_.empty() && entries_.at(order_.front()).expires <= now) {
    entries_.erase(order_.front());
    order_.pop_front();
  }
}

void StreamOriginTable::evict_oldest() {
  entries_.erase(order_.front());
  order_.pop_front();
  ++evicted_;
}

}  // namespace stoathold
