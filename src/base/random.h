/// @file
/// Seeded random number generators; all randomness in the system comes from them.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace stoathold {

/// SplitMix64 generator: fast, and the same sequence on every platform for one seed. Not thread
/// safe; each owner has its own.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  /// Returns the next 64 random bits.
  std::uint64_t next();

  /// Returns a number in [0, bound); 0 if `bound` is 0.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }

  /// Returns a number in [0, 1).
  double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

 private:
  std::uint64_t state_;
};

/// Returns the process-wide generator for jitter and tie-breaking. Never used by the core, whose
/// generators belong to the simulation. Not thread safe; only for the thread that runs the event
/// loop.
Random& process_random();
/// Seeds it, so that processes started at the same moment behave differently.
void seed_process_random(std::uint64_t seed);

/// Removes a random element from a list that is not empty, and returns it; the order of the others
/// may change.
template <typename Value>
Value take_random(std::vector<Value>& values) {
  std::swap(values[process_random().below(values.size())], values.back());
  Value taken = std::move(values.back());
  values.pop_back();
  return taken;
}

}  // namespace stoathold
