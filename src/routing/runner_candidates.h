/// @file
/// The runners from which a selection chooses: collected from the registry and filtered by
/// availability, health, zone, loans and batch arbitration.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/time.h"
#include "routing/runner_registry.h"
#include "routing/runner_selector.h"

namespace stoathold {

/// A runner that a request may be sent to.
struct Candidate {
  std::shared_ptr<Runner> runner;
  double load = 0;
  /// In prompt tokens (backlog, the request's own, and load converted to tokens), or, if latency is
  /// predicted, in microseconds to the first event.
  double cost = 0;
  std::uint32_t uncached_prompt_tokens = 0;
  bool warm = false;
  std::optional<ExpectedTimes> expected = std::nullopt;
};

/// Runners that may be tried.
struct CandidateSet {
  std::vector<Candidate> healthy;
  /// Ejected runners, and those without memory for the request: used only if no other is left.
  std::vector<Candidate> fallback;
};

/// Collects the available runners that were not tried before.
CandidateSet collect_candidates(const RunnerList::Runners& runners, const SelectionRequest& request,
                                TimePoint now);

/// Drops the candidates that cannot take the request now.
void drop_unsuitable(std::vector<Candidate>& candidates, const SelectionRequest& request,
                     TimePoint now);

/// Returns the runners of the node's zone that take precedence over those of other zones. Most
/// selections need no others, so that their cost does not depend on the number of zones.
std::vector<Candidate> preferred_in_zone(const RunnerRegistry& registry,
                                         const SelectionRequest& request, TimePoint now);

/// Returns those of all suitable candidates that the request may use: runners of the own zone, or
/// those of other zones that have room for it.
std::vector<Candidate> usable_in_any_zone(const RunnerRegistry& registry,
                                          const std::vector<Candidate>& candidates,
                                          const SelectionRequest& request, TimePoint now);

}  // namespace stoathold
