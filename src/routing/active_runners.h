/// @file
/// The runners that this node uses or has something to report about.
#pragma once

#include <set>
#include <string>

#include "base/time.h"

namespace stoathold {

class Runner;

/// Index of the listed runners with state that this node reports to other nodes: its own requests
/// and loans there, and what it has learned from its own attempts. A node uses few of a large
/// fleet's runners at a time, so messages are composed from this index and not from all runners.
/// Runners add themselves when they get such state; `drop_idle` removes them after it is gone. Not
/// thread-safe; does not own the runners.
class ActiveRunners {
 public:
  /// Adds a listed runner. No effect if it is in the index.
  void add(Runner& runner) { runners_.insert(&runner); }
  /// Removes a runner that is no longer listed.
  void remove(Runner& runner) { runners_.erase(&runner); }
  /// Removes the runners without reportable state.
  void drop_idle(TimePoint now);
  [[nodiscard]] bool contains(Runner& runner) const { return runners_.contains(&runner); }
  [[nodiscard]] std::size_t size() const { return runners_.size(); }
  [[nodiscard]] auto begin() const { return runners_.begin(); }
  [[nodiscard]] auto end() const { return runners_.end(); }

 private:
  struct ById {
    bool operator()(const Runner* left, const Runner* right) const;
  };

  std::set<Runner*, ById> runners_;
};

}  // namespace stoathold
