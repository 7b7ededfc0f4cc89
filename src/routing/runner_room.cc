#include "routing/runner_room.h"

#include <algorithm>

#include "routing/runner_registry.h"

namespace stoathold {
namespace {

/// For which a refusal counts: as long as a load report counts in full.
constexpr Duration kRefusalFresh = std::chrono::milliseconds(500);

}  // namespace

void RunnerRoom::refused(TimePoint now) {
  too_much_ = now < known_until_ ? std::min(too_much_, held_) : held_;
  known_until_ = now + kRefusalFresh;
}

bool RunnerRoom::fits(std::uint32_t tokens, TimePoint now) const {
  return now >= known_until_ || held_ + tokens < too_much_;
}

RunnerHold::RunnerHold(std::shared_ptr<Runner> runner, std::uint32_t tokens)
    : runner_(std::move(runner)), tokens_(tokens) {
  runner_->room().take(tokens_);
}

RunnerHold::~RunnerHold() {
  runner_->room().give_back(tokens_);
}

}  // namespace stoathold
