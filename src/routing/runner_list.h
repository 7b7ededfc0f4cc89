/// @file
/// A set of runners that is iterated often and changed one runner at a time.
#pragma once

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace stoathold {

class Runner;

/// Runners in a vector, with their positions. Adding or removing one takes constant time; removal
/// moves the last runner to the freed position. Not thread-safe.
class RunnerList {
 public:
  using Runners = std::vector<std::shared_ptr<Runner>>;

  /// Adds a runner that is not in the list.
  void add(std::shared_ptr<Runner> runner) {
    positions_[runner.get()] = runners_.size();
    runners_.push_back(std::move(runner));
  }
  /// Removes a runner. No effect if it is not in the list.
  void remove(const Runner& runner) {
    const auto found = positions_.find(&runner);
    if (found == positions_.end()) return;
    const std::size_t position = found->second;
    positions_.erase(found);
    if (position + 1 < runners_.size()) {
      runners_[position] = std::move(runners_.back());
      positions_[runners_[position].get()] = position;
    }
    runners_.pop_back();
  }
  [[nodiscard]] const Runners& runners() const { return runners_; }

 private:
  Runners runners_;
  std::unordered_map<const Runner*, std::size_t> positions_;
};

}  // namespace stoathold
