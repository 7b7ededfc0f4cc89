#include "base/random.h"

namespace stoathold {

std::uint64_t Random::next() {
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

Random& process_random() {
  static Random random(0);
  return random;
}

void seed_process_random(std::uint64_t seed) {
  process_random() = Random(seed);
}

}  // namespace stoathold
