#include "net/reclaimable_buffer.h"

namespace stoathold {

ReclaimableBuffer* ReclaimableBufferRegistry::slowest(TimePoint now) const {
  ReclaimableBuffer* chosen = nullptr;
  double max_cost = 0;
  for (ReclaimableBuffer* buffer : buffers_) {
    const Duration stalled = now - buffer->last_progress();
    if (stalled < kStallThreshold) continue;
    const double cost = to_seconds(stalled) * static_cast<double>(buffer->reserved_bytes());
    if (cost <= max_cost) continue;
    chosen = buffer;
    max_cost = cost;
  }
  return chosen;
}

bool ReclaimableBufferRegistry::reclaim_slowest(TimePoint now) {
  ReclaimableBuffer* buffer = slowest(now);
  if (buffer == nullptr) return false;
  buffer->reclaim();
  return true;
}

}  // namespace stoathold
