#include "quarantine/unproven_exits.h"

#include "quarantine/runner_starts.h"

namespace stoathold {
namespace {

/// Maximum number of requests that are remembered, some 300 kB.
constexpr std::size_t kMaxRequests = 4096;

}  // namespace

bool UnprovenExits::add(ContentHash content, TimePoint at) {
  if (!exits_.emplace(content, at).second) return false;
  order_.emplace_back(content, at);
  if (order_.size() > kMaxRequests) forget_oldest();
  return true;
}

/// A request that was cleared and added again has a newer entry, which stays.
void UnprovenExits::forget_oldest() {
  const auto [content, at] = order_.front();
  order_.pop_front();
  const auto found = exits_.find(content);
  if (found != exits_.end() && found->second == at) exits_.erase(found);
}

void UnprovenExits::expire(TimePoint now) {
  while (!order_.empty() && now - order_.front().second > kExitLifetime) forget_oldest();
}

}  // namespace stoathold
