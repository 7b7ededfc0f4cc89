#include "routing/runner_selector.h"

#include <algorithm>

#include "base/random.h"

namespace stoathold {
namespace {

/// Load up to which a runner of the own zone is preferred to others.
constexpr double kZoneSpillLoad = 0.9;
/// Load up to which a request keeps to the runner that is warm for a long prefix, and for a short.
constexpr double kStrongAffinityLoad = 0.85;
constexpr double kWeakAffinityLoad = 0.3;
/// Loads closer than this count as equal; the choice between them is random.
constexpr double kEqualLoad = 0.03;

struct Candidate {
  std::shared_ptr<Runner> runner;
  double load = 0;
};

bool is_excluded(const SelectionRequest& request, const Runner& runner) {
  return std::find(request.excluded.begin(), request.excluded.end(), runner.record().id) !=
         request.excluded.end();
}

/// Runners that may be tried. Ejected ones are taken only when no other is left.
std::vector<Candidate> collect(const std::vector<std::shared_ptr<Runner>>& runners,
                               const SelectionRequest& request, TimePoint now) {
  std::vector<Candidate> healthy;
  std::vector<Candidate> ejected;
  for (const auto& runner : runners) {
    if (!runner->available() || is_excluded(request, *runner)) continue;
    auto& target = runner->ejected(now) ? ejected : healthy;
    target.push_back({runner, runner->load(now)});
  }
  return healthy.empty() ? ejected : healthy;
}

std::vector<Candidate> prefer_zone(const std::vector<Candidate>& candidates,
                                   const std::string& zone) {
  std::vector<Candidate> near;
  for (const auto& candidate : candidates) {
    const bool in_zone = candidate.runner->record().zone == zone;
    if (in_zone && candidate.load < kZoneSpillLoad) near.push_back(candidate);
  }
  return near.empty() ? candidates : near;
}

/// Rendezvous hashing: the same prefix ranks the same runner highest at every node.
const Candidate* warm_candidate(const std::vector<Candidate>& candidates,
                                const SelectionRequest& request) {
  if (request.affinity_key == 0) return nullptr;
  const auto rank = [&](const Candidate& candidate) {
    return mix_hashes(request.affinity_key, candidate.runner->hash());
  };
  const auto best = std::max_element(
      candidates.begin(), candidates.end(),
      [&](const Candidate& left, const Candidate& right) { return rank(left) < rank(right); });
  const double limit = request.strong_affinity ? kStrongAffinityLoad : kWeakAffinityLoad;
  return best->load < limit ? &*best : nullptr;
}

const Candidate& least_loaded(const std::vector<Candidate>& candidates) {
  const auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.load < right.load; });
  std::vector<const Candidate*> equal;
  for (const auto& candidate : candidates) {
    if (candidate.load <= least->load + kEqualLoad) equal.push_back(&candidate);
  }
  return *equal[process_random().below(equal.size())];
}

}  // namespace

std::string_view to_string(SelectionFailure failure) {
  switch (failure) {
    case SelectionFailure::kUnknownService:
      return "unknown_service";
    case SelectionFailure::kAllExcluded:
      return "all_excluded";
    case SelectionFailure::kAllBusy:
      return "all_busy";
    case SelectionFailure::kNone:
      break;
  }
  return "none";
}

Selection select_runner(const RunnerRegistry& registry, const SelectionRequest& request,
                        TimePoint now) {
  Selection selection;
  const auto& runners = registry.of_service(request.service);
  std::vector<Candidate> candidates = collect(runners, request, now);
  selection.candidates = static_cast<std::uint32_t>(candidates.size());
  if (candidates.empty()) {
    selection.failure =
        runners.empty() ? SelectionFailure::kUnknownService : SelectionFailure::kAllExcluded;
    return selection;
  }
  if (request.load_limit > 0) {
    std::erase_if(candidates,
                  [&](const Candidate& candidate) { return candidate.load >= request.load_limit; });
    if (candidates.empty()) {
      selection.failure = SelectionFailure::kAllBusy;
      return selection;
    }
  }
  const std::vector<Candidate> near = prefer_zone(candidates, request.zone);
  const Candidate* warm = warm_candidate(near, request);
  const Candidate& chosen = warm != nullptr ? *warm : least_loaded(near);
  selection.runner = chosen.runner;
  selection.load = chosen.load;
  return selection;
}

}  // namespace stoathold
