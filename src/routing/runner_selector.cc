#include "routing/runner_selector.h"

#include <algorithm>

#include "base/ids.h"
#include "base/random.h"

namespace stoathold {
namespace {

/// Load below which runners of the own zone are preferred to those of other zones.
constexpr double kZoneSpillLoad = 0.9;
/// Load, as reported by its own zone, below which a runner of another zone receives work. The limit
/// is low because the work that other nodes send there at the same time is not known yet.
constexpr double kRemoteLoadLimit = 0.75;
/// Limit on concurrent probe requests to runners of other zones whose load is unknown, over all
/// such runners.
constexpr std::size_t kMaxSpillProbes = 2;
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

bool is_excluded(const SelectionRequest& request, const Runner& runner) {
  return std::find(request.excluded.begin(), request.excluded.end(), runner.hash()) !=
         request.excluded.end();
}

/// Returns the runners that may be tried. Ejected runners, and those without memory for the
/// request, are returned only if there are no others.
std::vector<Candidate> collect_candidates(const std::vector<std::shared_ptr<Runner>>& runners,
                                          const SelectionRequest& request, TimePoint now) {
  std::vector<Candidate> healthy;
  std::vector<Candidate> fallback;
  for (const auto& runner : runners) {
    if (!runner->available() || is_excluded(request, *runner)) continue;
    const bool deprioritized =
        runner->ejected(now) || !runner->memory().fits(request.prompt_tokens, now);
    auto& target = deprioritized ? fallback : healthy;
    target.push_back({runner, runner->load(now)});
  }
  return healthy.empty() ? fallback : healthy;
}

/// Drops runners whose latency is an outlier. A runner on probation gets one request at a time.
void drop_latency_outliers(std::vector<Candidate>& candidates, TimePoint now) {
  const bool any = std::any_of(candidates.begin(), candidates.end(), [now](const auto& candidate) {
    return candidate.runner->speed().latency_outliers().is_suspect(now);
  });
  if (!any) return;
  std::vector<OutlierCounts> counts;
  counts.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    counts.push_back(candidate.runner->speed().latency_outliers().all(now));
  }
  const std::vector<OutlierVerdict> verdicts = detect_outliers(counts);
  std::vector<Candidate> left;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const bool busy_on_probation =
        verdicts[i] == OutlierVerdict::kOnProbation && candidates[i].load > 0;
    if (verdicts[i] != OutlierVerdict::kAvoided && !busy_on_probation)
      left.push_back(candidates[i]);
  }
  candidates = std::move(left);
}

/// Keeps the full runners of the zone where preempting one batch item frees a slot. Their load is
/// computed as if all batch items were gone, so that the runner with most of them is selected.
void keep_preemptible(std::vector<Candidate>& candidates, const std::string& zone) {
  std::erase_if(candidates, [&](const Candidate& candidate) {
    const Runner& runner = *candidate.runner;
    const double half_slot = 0.5 / runner.slots();
    const bool is_just_full = candidate.load < 1 + half_slot;
    return runner.preemptible() == 0 || !is_just_full || runner.record().zone != zone;
  });
  for (auto& candidate : candidates) {
    candidate.load -=
        static_cast<double>(candidate.runner->preemptible()) / candidate.runner->slots();
  }
}

/// Returns whether the candidate has an unused slot borrowed from another zone, whatever its load.
bool has_borrowed_slot(const Candidate& candidate, const SelectionRequest& request, TimePoint now) {
  const Runner& runner = *candidate.runner;
  return request.borrowed_only && runner.record().zone != request.zone &&
         runner.unused_borrowed(now) > 0;
}

/// Nodes of other zones use their runners without informing this node. A remote runner therefore
/// receives work only with a recent load report, or as one of a few probes that make it report.
bool may_spill_to(const Candidate& candidate, std::size_t probes, TimePoint now) {
  if (candidate.runner->zone_load_known(now)) return candidate.load < kRemoteLoadLimit;
  if (candidate.runner->load_known(now)) return true;
  return candidate.runner->in_flight() == 0 && probes < kMaxSpillProbes;
}

std::vector<Candidate> prefer_zone(const std::vector<Candidate>& candidates,
                                   const std::string& zone, TimePoint now) {
  std::vector<Candidate> local;
  std::vector<Candidate> remote;
  std::size_t probes = 0;
  for (const auto& candidate : candidates) {
    if (candidate.runner->record().zone == zone) {
      local.push_back(candidate);
    } else if (!candidate.runner->load_known(now) && candidate.runner->in_flight() > 0) {
      ++probes;
    }
  }
  std::erase_if(local, [](const Candidate& candidate) { return candidate.load >= kZoneSpillLoad; });
  if (!local.empty()) return local;
  for (const auto& candidate : candidates) {
    const bool is_local = candidate.runner->record().zone == zone;
    if (is_local || may_spill_to(candidate, probes, now)) remote.push_back(candidate);
  }
  return remote;
}

/// Prefers runners of the own zone whatever their load: a slot of another zone costs a loan and
/// inter-zone traffic, and is worth it only for requests that would otherwise be late. Runners of
/// zones that do not answer loan requests are used as without loans.
std::vector<Candidate> prefer_own_zone_to_loans(const RunnerRegistry& registry,
                                                const std::vector<Candidate>& candidates,
                                                const SelectionRequest& request, TimePoint now) {
  std::vector<Candidate> local;
  std::vector<Candidate> not_lending;
  std::vector<Candidate> borrowed;
  for (const auto& candidate : candidates) {
    const std::string& zone = candidate.runner->record().zone;
    if (zone == request.zone) {
      local.push_back(candidate);
    } else if (has_borrowed_slot(candidate, request, now)) {
      borrowed.push_back(candidate);
    } else if (!registry.zone_lends(zone)) {
      not_lending.push_back(candidate);
    }
  }
  if (!local.empty()) return local;
  return borrowed.empty() ? prefer_zone(not_lending, request.zone, now) : borrowed;
}

/// Keeps the runners at which this node may currently place batch items.
void keep_assigned(std::vector<Candidate>& candidates, const SelectionRequest& request,
                   TimePoint now) {
  const std::uint64_t service = stable_hash(request.service);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    const std::uint64_t runner = candidate.runner->hash();
    if (candidate.load >= request.load_limit) {
      request.batch_arbiter->record_no_free_slot(runner);
      return true;
    }
    if (candidate.runner->record().zone == request.zone) {
      return !request.batch_arbiter->may_use_runner(service, request.urgency, runner, now);
    }
    return !request.batch_arbiter->is_first_in_order(service, request.urgency, runner, now);
  });
}

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

}  // namespace

Selection select_runner(const RunnerRegistry& registry, const SelectionRequest& request,
                        TimePoint now) {
  Selection selection;
  const auto& runners = registry.for_service(request.service);
  std::vector<Candidate> candidates = collect_candidates(runners, request, now);
  if (candidates.empty()) {
    selection.failure =
        runners.empty() ? SelectionFailure::kUnknownService : SelectionFailure::kAllExcluded;
    return selection;
  }
  if (request.speeds != nullptr && request.work == WorkClass::kOnline)
    drop_latency_outliers(candidates, now);
  if (request.preempt_batch) keep_preemptible(candidates, request.zone);
  if (request.batch_arbiter != nullptr) keep_assigned(candidates, request, now);
  if (request.load_limit > 0) {
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return candidate.load >= request.load_limit && !has_borrowed_slot(candidate, request, now);
    });
    if (candidates.empty()) {
      selection.failure = SelectionFailure::kAllBusy;
      return selection;
    }
  }
  std::vector<Candidate> local = request.borrowed_only
                                     ? prefer_own_zone_to_loans(registry, candidates, request, now)
                                     : prefer_zone(candidates, request.zone, now);
  if (local.empty()) {
    selection.failure = SelectionFailure::kAllBusy;
    return selection;
  }
  compute_costs(local, request);
  // Counted before `choose_by_time` drops candidates: all of them were available to choose from.
  selection.candidates = static_cast<std::uint32_t>(local.size());
  const Candidate& chosen =
      request.speeds == nullptr ? lowest_cost(local, request) : choose_by_time(local, request, now);
  selection.runner = chosen.runner;
  selection.uncached_prompt_tokens = chosen.uncached_prompt_tokens;
  selection.load = chosen.load;
  selection.backlog_tokens = chosen.runner->total_backlog();
  selection.warm = chosen.warm;
  selection.expected = chosen.expected;
  return selection;
}

}  // namespace stoathold
