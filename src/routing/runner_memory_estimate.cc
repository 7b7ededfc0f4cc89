#include "routing/runner_memory_estimate.h"

#include <algorithm>

#include "routing/runner_registry.h"

namespace stoathold {
namespace {

/// Time for which a rejection counts; load reports have full weight for the same time.
constexpr Duration kRejectionLifetime = std::chrono::milliseconds(500);

}  // namespace

void RunnerMemoryEstimate::record_rejection(TimePoint now) {
  rejected_amount_ =
      now < evidence_expiry_ ? std::min(rejected_amount_, held_tokens_) : held_tokens_;
  evidence_expiry_ = now + kRejectionLifetime;
}

bool RunnerMemoryEstimate::fits(std::uint32_t tokens, TimePoint now) const {
  return now >= evidence_expiry_ || held_tokens_ + tokens < rejected_amount_;
}

RunnerMemoryReservation::RunnerMemoryReservation(std::shared_ptr<Runner> runner,
                                                 std::uint32_t tokens)
    : runner_(std::move(runner)), tokens_(tokens) {
  runner_->memory().add(tokens_);
}

RunnerMemoryReservation::~RunnerMemoryReservation() {
  runner_->memory().remove(tokens_);
}

}  // namespace stoathold
