/// @file
/// Remembers which requests had their connection closed by a runner that may have exited earlier.
#pragma once

#include <deque>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "quarantine/request_content.h"

namespace stoathold {

/// Requests whose run was closed before any response although nothing shows that the runner was
/// still running when the request reached it. Such an end is no evidence against the request. The
/// next runs of the request are sent only to runners that have just responded, so that their ends
/// are evidence. Used on one thread.
class UnprovenExits {
 public:
  /// Adds an end of a run.
  /// @return whether the request had none.
  bool add(ContentHash content, TimePoint at);
  [[nodiscard]] bool contains(ContentHash content) const { return exits_.contains(content); }
  [[nodiscard]] bool empty() const { return exits_.empty(); }
  void clear(ContentHash content) { exits_.erase(content); }
  /// Forgets ends that are too old to matter.
  void expire(TimePoint now);

 private:
  void forget_oldest();

  std::unordered_map<ContentHash, TimePoint> exits_;  ///< First end of each request.
  /// The entries of `exits_` in the order in which they were added, and cleared ones.
  std::deque<std::pair<ContentHash, TimePoint>> order_;
};

}  // namespace stoathold
