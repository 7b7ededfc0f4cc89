#include "routing/runner_candidates.h"

#include <algorithm>

#include "base/ids.h"

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
bool is_excluded(const SelectionRequest& request, const Runner& runner) {
  const bool other_version =
      request.software_version && runner.software_version() != *request.software_version;
  return other_version || std::find(request.excluded.begin(), request.excluded.end(),
                                    runner.hash()) != request.excluded.end();
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

}  // namespace

CandidateSet collect_candidates(const RunnerList::Runners& runners, const SelectionRequest& request,
                                TimePoint now) {
  CandidateSet candidates;
  for (const auto& runner : runners) {
    if (!runner->available() || is_excluded(request, *runner)) continue;
    const bool deprioritized =
        runner->ejected(now) || !runner->memory().fits(request.prompt_tokens, now);
    auto& target = deprioritized ? candidates.fallback : candidates.healthy;
    target.push_back({runner, runner->load(now)});
  }
  return candidates;
}

void drop_unsuitable(std::vector<Candidate>& candidates, const SelectionRequest& request,
                     TimePoint now) {
  if (request.speeds != nullptr && request.work == WorkClass::kOnline)
    drop_latency_outliers(candidates, now);
  if (request.preempt_batch) keep_preemptible(candidates, request.zone);
  if (request.batch_arbiter != nullptr) keep_assigned(candidates, request, now);
  if (request.load_limit <= 0) return;
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return candidate.load >= request.load_limit && !has_borrowed_slot(candidate, request, now);
  });
}

std::vector<Candidate> preferred_in_zone(const RunnerRegistry& registry,
                                         const SelectionRequest& request, TimePoint now) {
  // Latency outliers are found by comparing the runners of all zones.
  if (request.speeds != nullptr && request.work == WorkClass::kOnline) return {};
  std::vector<Candidate> candidates =
      collect_candidates(registry.for_service(request.service, request.zone), request, now).healthy;
  drop_unsuitable(candidates, request, now);
  if (request.borrowed_only) return candidates;
  std::erase_if(candidates,
                [](const Candidate& candidate) { return candidate.load >= kZoneSpillLoad; });
  return candidates;
}

std::vector<Candidate> usable_in_any_zone(const RunnerRegistry& registry,
                                          const std::vector<Candidate>& candidates,
                                          const SelectionRequest& request, TimePoint now) {
  return request.borrowed_only ? prefer_own_zone_to_loans(registry, candidates, request, now)
                               : prefer_zone(candidates, request.zone, now);
}

}  // namespace stoathold
