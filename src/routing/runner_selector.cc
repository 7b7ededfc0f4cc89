#include "routing/runner_selector.h"

#include <algorithm>

#include "base/ids.h"
#include "base/random.h"
#include "routing/runner_candidates.h"

namespace stoathold {
namespace {

/// Prompt tokens equivalent to a load of 1: both delay the first token.
constexpr double kTokensPerUnitLoad = 6000;
/// Costs that differ by less than this many tokens are ties, broken at random.
constexpr double kCostTieMargin = 150;

/// A runner with a reusable connection is treated as if its first event were predicted this
/// fraction sooner: a new connection takes a round trip and counts against the few that a runner
/// allows.
constexpr double kConnectionReuseBonus = 0.15;
/// A runner with a reusable connection is preferred at up to this much extra cost while its own
/// load is low. One more request on a runner with 8 makes its steps 2 to 4% longer.
constexpr double kConnectionReuseMaxCost = 0.3 * kTokensPerUnitLoad;
constexpr double kConnectionReuseMaxLoad = 0.7;

/// Rendezvous hashing: every node of a zone ranks the same runner highest for a prefix, so that
/// only one runner caches it.
const Runner* warm_runner(const std::vector<Candidate>& candidates,
                          const SelectionRequest& request) {
  if (request.affinity_key == 0) return nullptr;
  const auto rank = [&](const Candidate& candidate) {
    return mix_hashes(request.affinity_key, candidate.runner->affinity_hash());
  };
  const auto best = std::max_element(
      candidates.begin(), candidates.end(),
      [&](const Candidate& left, const Candidate& right) { return rank(left) < rank(right); });
  return best->runner.get();
}

void compute_costs(std::vector<Candidate>& candidates, const SelectionRequest& request) {
  const Runner* warm = warm_runner(candidates, request);
  const std::uint32_t shared = std::min(request.shared_prefix_tokens, request.prompt_tokens);
  for (auto& candidate : candidates) {
    candidate.warm = candidate.runner.get() == warm;
    candidate.uncached_prompt_tokens = request.prompt_tokens - (candidate.warm ? shared : 0);
    candidate.cost = candidate.runner->total_backlog() + candidate.uncached_prompt_tokens +
                     candidate.load * kTokensPerUnitLoad;
  }
}

/// How well a response would meet its objectives.
enum class Timeliness : std::uint8_t {
  kOnTimeAtSlowest,  ///< Even when the runner's machine is at its slowest.
  kOnTimeNow,        ///< At the current speed of the runner.
  kLate,
};

Timeliness online_timeliness(const ExpectedTimes& expected, const LatencyObjectives& objectives,
                             TimePoint now) {
  const Duration gap = objectives.event_gap_objective;
  if (now + expected.first_event > objectives.first_event_due) return Timeliness::kLate;
  if (gap.count() == 0 || expected.longest_gap <= gap) return Timeliness::kOnTimeAtSlowest;
  return expected.event_gap <= gap ? Timeliness::kOnTimeNow : Timeliness::kLate;
}

void predict(std::vector<Candidate>& candidates, const SelectionRequest& request, TimePoint now) {
  for (auto& candidate : candidates) {
    const Runner& runner = *candidate.runner;
    const RunnerWork work{.pending_prompt_tokens = static_cast<double>(
                              runner.total_backlog() + candidate.uncached_prompt_tokens),
                          .load = candidate.load};
    candidate.expected =
        request.speeds->expected(request.latency_objectives.route, runner.speed(), work, now);
    candidate.cost = static_cast<double>(candidate.expected->first_event.count());
  }
}

/// Keeps the runners with the best timeliness.
void keep_most_timely(std::vector<Candidate>& candidates, const SelectionRequest& request,
                      TimePoint now) {
  const auto timeliness = [&](const Candidate& candidate) {
    return online_timeliness(*candidate.expected, request.latency_objectives, now);
  };
  const auto best = std::min_element(candidates.begin(), candidates.end(),
                                     [&](const Candidate& left, const Candidate& right) {
                                       return timeliness(left) < timeliness(right);
                                     });
  const Timeliness best_timeliness = timeliness(*best);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return timeliness(candidate) > best_timeliness;
  });
}

/// Returns the lowest_cost lightly loaded runner with a reusable connection. Without one, returns
/// the runner that this node prefers by hash, so that later requests find a connection. Returns
/// null if no runner qualifies and load decides.
const Candidate* sticky_runner(const std::vector<Candidate>& candidates,
                               const SelectionRequest& request, double least_cost) {
  const Candidate* connected = nullptr;
  const Candidate* preferred = nullptr;
  const auto rank = [&](const Candidate& candidate) {
    return mix_hashes(request.node, candidate.runner->hash());
  };
  for (const auto& candidate : candidates) {
    const bool low = candidate.load < kConnectionReuseMaxLoad;
    if (!low || candidate.cost > least_cost + kConnectionReuseMaxCost) continue;
    if (preferred == nullptr || rank(candidate) > rank(*preferred)) preferred = &candidate;
    if (connected != nullptr && connected->cost <= candidate.cost) continue;
    if (request.has_reusable_connection && request.has_reusable_connection(*candidate.runner))
      connected = &candidate;
  }
  return connected != nullptr ? connected : preferred;
}

/// Drops the runners without a reusable connection, unless none has one.
void prefer_connected(std::vector<const Candidate*>& candidates, const SelectionRequest& request) {
  if (!request.has_reusable_connection) return;
  std::vector<const Candidate*> connected;
  for (const Candidate* candidate : candidates) {
    if (request.has_reusable_connection(*candidate->runner)) connected.push_back(candidate);
  }
  if (!connected.empty()) candidates = std::move(connected);
}

const Candidate& lowest_cost(const std::vector<Candidate>& candidates,
                             const SelectionRequest& request) {
  const auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.cost < right.cost; });
  if (request.prefer_reusable_connections) {
    const Candidate* kept = sticky_runner(candidates, request, least->cost);
    if (kept != nullptr) return *kept;
  }
  std::vector<const Candidate*> equal;
  for (const auto& candidate : candidates) {
    if (candidate.cost <= least->cost + kCostTieMargin) equal.push_back(&candidate);
  }
  prefer_connected(equal, request);
  return *equal[process_random().below(equal.size())];
}

/// Returns the better of two runners drawn at random, or one with a reusable connection that is
/// about as good.
///
/// Other nodes select at the same time from reports that are some 10 ms old. If all of them took
/// the best known runner, they would overload the same few runners, the more so the more nodes
/// there are.
const Candidate& power_of_two_choices(const std::vector<Candidate>& candidates,
                                      const SelectionRequest& request) {
  const std::size_t first = process_random().below(candidates.size());
  const std::size_t others = candidates.size() - 1;
  const std::size_t second = others == 0 ? first : process_random().below(others);
  const Candidate& left = candidates[first];
  const Candidate& right = candidates[second < first || others == 0 ? second : second + 1];
  const Candidate& better = left.cost <= right.cost ? left : right;
  if (!request.has_reusable_connection) return better;
  const double max_cost = better.cost * (1 + kConnectionReuseBonus);
  std::vector<const Candidate*> connected;
  for (const Candidate& candidate : candidates) {
    if (candidate.cost > max_cost || !request.has_reusable_connection(*candidate.runner)) continue;
    connected.push_back(&candidate);
  }
  return connected.empty() ? better : *connected[process_random().below(connected.size())];
}

/// Selects by predicted latency.
const Candidate& choose_by_time(std::vector<Candidate>& candidates, const SelectionRequest& request,
                                TimePoint now) {
  predict(candidates, request, now);
  if (request.work == WorkClass::kOnline) keep_most_timely(candidates, request, now);
  return power_of_two_choices(candidates, request);
}

/// Selects the best of the remaining candidates.
/// @param candidates not empty.
Selection select_best(std::vector<Candidate> candidates, const SelectionRequest& request,
                      TimePoint now) {
  Selection selection;
  compute_costs(candidates, request);
  // Counted before `choose_by_time` drops candidates: all of them were available to choose from.
  selection.candidates = static_cast<std::uint32_t>(candidates.size());
  const Candidate& chosen = request.speeds == nullptr ? lowest_cost(candidates, request)
                                                      : choose_by_time(candidates, request, now);
  selection.runner = chosen.runner;
  selection.uncached_prompt_tokens = chosen.uncached_prompt_tokens;
  selection.load = chosen.load;
  selection.backlog_tokens = chosen.runner->total_backlog();
  selection.warm = chosen.warm;
  selection.expected = chosen.expected;
  return selection;
}

Selection selection_failure(SelectionFailure failure) {
  Selection selection;
  selection.failure = failure;
  return selection;
}

}  // namespace

Selection select_runner(const RunnerRegistry& registry, const SelectionRequest& request,
                        TimePoint now) {
  std::vector<Candidate> in_zone = preferred_in_zone(registry, request, now);
  if (!in_zone.empty()) return select_best(std::move(in_zone), request, now);
  const auto& runners = registry.for_service(request.service);
  CandidateSet known = collect_candidates(runners, request, now);
  std::vector<Candidate> candidates =
      std::move(known.healthy.empty() ? known.fallback : known.healthy);
  if (candidates.empty()) {
    return selection_failure(runners.empty() ? SelectionFailure::kUnknownService
                                             : SelectionFailure::kAllExcluded);
  }
  drop_unsuitable(candidates, request, now);
  std::vector<Candidate> allowed = usable_in_any_zone(registry, candidates, request, now);
  if (allowed.empty()) return selection_failure(SelectionFailure::kAllBusy);
  return select_best(std::move(allowed), request, now);
}

}  // namespace stoathold
