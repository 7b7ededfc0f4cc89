#include "net/byte_holders.h"

namespace stoathold {

ByteHolder* ByteHolders::slowest(TimePoint now) const {
  ByteHolder* chosen = nullptr;
  double most = 0;
  for (ByteHolder* holder : holders_) {
    const Duration stalled = now - holder->last_progress();
    if (stalled < kStallTime) continue;
    const double cost = to_seconds(stalled) * static_cast<double>(holder->held_bytes());
    if (cost <= most) continue;
    chosen = holder;
    most = cost;
  }
  return chosen;
}

bool ByteHolders::cut_off_slowest(TimePoint now) {
  ByteHolder* holder = slowest(now);
  if (holder == nullptr) return false;
  holder->cut_off();
  return true;
}

}  // namespace stoathold
