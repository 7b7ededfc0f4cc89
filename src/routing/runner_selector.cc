#include "routing/runner_selector.h"

#include <algorithm>

#include "base/ids.h"
#include "base/random.h"

namespace stoathold {
namespace {

/// Load up to which a runner of the own zone is preferred to others.
constexpr double kZoneSpillLoad = 0.9;
/// Load, as its own zone reported it, up to which a runner of another zone takes work: what others
/// send there at the same moment is not known yet.
constexpr double kRemoteLoadLimit = 0.75;
/// Requests at runners of other zones whose load is not known, over all of them.
constexpr std::size_t kSpillTrials = 2;
/// Prompt tokens that weigh as much as a runner's whole load: both make a first token come later.
constexpr double kTokensPerLoad = 6000;
/// Costs closer than this, in tokens, count as equal; the choice between them is random.
constexpr double kEqualCost = 150;

/// A runner to which a connection is kept is taken for one whose answer is predicted to begin this
/// part sooner: a new connection takes a round trip, and one of the few that a runner allows.
constexpr double kConnectionWorth = 0.15;
/// A runner to which a connection is kept is taken although others have so much less to do, as long
/// as its own load is low: with one request more of 8 a runner's steps take 2 to 4 in 100 longer.
constexpr double kConnectionCost = 0.3 * kTokensPerLoad;
constexpr double kConnectionLoad = 0.7;

struct Candidate {
  std::shared_ptr<Runner> runner;
  double load = 0;
  /// In prompt tokens (those ahead, those of the request, and the load), or, if times are
  /// predicted, in microseconds to the first event.
  double cost = 0;
  std::uint32_t tokens_to_read = 0;
  bool warm = false;
  std::optional<ExpectedTimes> expected = std::nullopt;
};

bool is_excluded(const SelectionRequest& request, const Runner& runner) {
  return std::find(request.excluded.begin(), request.excluded.end(), runner.hash()) !=
         request.excluded.end();
}

/// Runners that may be tried. Ejected ones, and those without room for the request, are taken only
/// when no other is left.
std::vector<Candidate> collect(const std::vector<std::shared_ptr<Runner>>& runners,
                               const SelectionRequest& request, TimePoint now) {
  std::vector<Candidate> healthy;
  std::vector<Candidate> ejected;
  for (const auto& runner : runners) {
    if (!runner->available() || is_excluded(request, *runner)) continue;
    const bool spared = runner->ejected(now) || !runner->room().fits(request.prompt_tokens, now);
    auto& target = spared ? ejected : healthy;
    target.push_back({runner, runner->load(now)});
  }
  return healthy.empty() ? ejected : healthy;
}

/// Leaves out the runners that are slow beyond explanation. One that was so a moment ago gets one
/// request at a time.
void avoid_slow(std::vector<Candidate>& candidates, TimePoint now) {
  const bool any = std::any_of(candidates.begin(), candidates.end(), [now](const auto& candidate) {
    return candidate.runner->speed().slow_answers().is_suspect(now);
  });
  if (!any) return;
  std::vector<SlowCounts> counts;
  counts.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    counts.push_back(candidate.runner->speed().slow_answers().all(now));
  }
  const std::vector<SlowVerdict> verdicts = judge_slow(counts);
  std::vector<Candidate> left;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const bool busy_trial = verdicts[i] == SlowVerdict::kOnTrial && candidates[i].load > 0;
    if (verdicts[i] != SlowVerdict::kAvoided && !busy_trial) left.push_back(candidates[i]);
  }
  candidates = std::move(left);
}

/// Keeps the runners at which one batch item less makes room for one request. They count as loaded
/// as if all batch items there were gone, so that the one with most of them is taken.
void keep_preemptible(std::vector<Candidate>& candidates, const std::string& zone) {
  std::erase_if(candidates, [&](const Candidate& candidate) {
    const Runner& runner = *candidate.runner;
    const double half_slot = 0.5 / runner.slots();
    const bool only_full = candidate.load < 1 + half_slot;
    return runner.preemptible() == 0 || !only_full || runner.record().zone != zone;
  });
  for (auto& candidate : candidates) {
    candidate.load -=
        static_cast<double>(candidate.runner->preemptible()) / candidate.runner->slots();
  }
}

/// Whether a slot of another zone was lent for it, whatever its load.
bool is_lent(const Candidate& candidate, const SelectionRequest& request, TimePoint now) {
  const Runner& runner = *candidate.runner;
  return request.borrowed_only && runner.record().zone != request.zone &&
         runner.unused_borrowed(now) > 0;
}

/// Nodes of other zones use a runner there without telling this node. So such a runner takes work
/// only if it has reported its load just now, or as one of few trials that make it do so.
bool may_spill_to(const Candidate& candidate, std::size_t trials, TimePoint now) {
  if (candidate.runner->zone_load_known(now)) return candidate.load < kRemoteLoadLimit;
  if (candidate.runner->load_known(now)) return true;
  return candidate.runner->in_flight() == 0 && trials < kSpillTrials;
}

std::vector<Candidate> prefer_zone(const std::vector<Candidate>& candidates,
                                   const std::string& zone, TimePoint now) {
  std::vector<Candidate> local;
  std::vector<Candidate> remote;
  std::size_t trials = 0;
  for (const auto& candidate : candidates) {
    if (candidate.runner->record().zone == zone) {
      local.push_back(candidate);
    } else if (!candidate.runner->load_known(now) && candidate.runner->in_flight() > 0) {
      ++trials;
    }
  }
  std::erase_if(local, [](const Candidate& candidate) { return candidate.load >= kZoneSpillLoad; });
  if (!local.empty()) return local;
  for (const auto& candidate : candidates) {
    const bool is_local = candidate.runner->record().zone == zone;
    if (is_local || may_spill_to(candidate, trials, now)) remote.push_back(candidate);
  }
  return remote;
}

/// Runners of the own zone with room, whatever their load: a slot of another zone costs a loan and
/// bytes between zones, and is wanted only for what would be late. Zones that do not answer are
/// tried as without loans.
std::vector<Candidate> prefer_own_zone(const RunnerRegistry& registry,
                                       const std::vector<Candidate>& candidates,
                                       const SelectionRequest& request, TimePoint now) {
  std::vector<Candidate> local;
  std::vector<Candidate> unlent;
  std::vector<Candidate> lent;
  for (const auto& candidate : candidates) {
    const std::string& zone = candidate.runner->record().zone;
    if (zone == request.zone) {
      local.push_back(candidate);
    } else if (is_lent(candidate, request, now)) {
      lent.push_back(candidate);
    } else if (!registry.zone_lends(zone)) {
      unlent.push_back(candidate);
    }
  }
  if (!local.empty()) return local;
  return lent.empty() ? prefer_zone(unlent, request.zone, now) : lent;
}

/// Leaves the runners that it is this node's turn to give batch items to.
void keep_dealt(std::vector<Candidate>& candidates, const SelectionRequest& request,
                TimePoint now) {
  const std::uint64_t service = stable_hash(request.service);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    const std::uint64_t runner = candidate.runner->hash();
    if (candidate.load >= request.load_limit) {
      request.turns->note_full(runner);
      return true;
    }
    if (candidate.runner->record().zone == request.zone) {
      return !request.turns->may_take(service, request.urgency, runner, now);
    }
    return !request.turns->is_first(service, request.urgency, runner, now);
  });
}

/// Rendezvous hashing: the same prefix ranks the same runner highest at every node of a zone, so
/// that one runner keeps it.
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
  const std::uint32_t shared = std::min(request.shared_tokens, request.prompt_tokens);
  for (auto& candidate : candidates) {
    candidate.warm = candidate.runner.get() == warm;
    candidate.tokens_to_read = request.prompt_tokens - (candidate.warm ? shared : 0);
    candidate.cost = candidate.runner->total_backlog() + candidate.tokens_to_read +
                     candidate.load * kTokensPerLoad;
  }
}

/// How well an answer would be in time.
enum class Timeliness : std::uint8_t {
  kAlways,  ///< Also when the runner's machine is at its slowest.
  kNow,     ///< As things stand.
  kLate,
};

Timeliness online_timeliness(const ExpectedTimes& expected, const AnswerNeeds& needs,
                             TimePoint now) {
  const Duration gap = needs.event_gap_objective;
  if (now + expected.first_event > needs.first_event_due) return Timeliness::kLate;
  if (gap.count() == 0 || expected.longest_gap <= gap) return Timeliness::kAlways;
  return expected.event_gap <= gap ? Timeliness::kNow : Timeliness::kLate;
}

void predict(std::vector<Candidate>& candidates, const SelectionRequest& request, TimePoint now) {
  for (auto& candidate : candidates) {
    const Runner& runner = *candidate.runner;
    const RunnerWork work{
        .unread_tokens = static_cast<double>(runner.total_backlog() + candidate.tokens_to_read),
        .load = candidate.load};
    candidate.expected = request.speeds->expected(request.needs.route, runner.speed(), work, now);
    candidate.cost = static_cast<double>(candidate.expected->first_event.count());
  }
}

/// Leaves those where the answer will be in time, if there are any.
void keep_timely(std::vector<Candidate>& candidates, const SelectionRequest& request,
                 TimePoint now) {
  const auto timeliness = [&](const Candidate& candidate) {
    return online_timeliness(*candidate.expected, request.needs, now);
  };
  const auto best = std::min_element(candidates.begin(), candidates.end(),
                                     [&](const Candidate& left, const Candidate& right) {
                                       return timeliness(left) < timeliness(right);
                                     });
  const Timeliness most = timeliness(*best);
  std::erase_if(candidates,
                [&](const Candidate& candidate) { return timeliness(candidate) > most; });
}

/// Returns the one with the least cost of those to which a connection is kept, or, without any,
/// that which this node prefers, so that later requests find a connection; null where load
/// decides.
const Candidate* usual_runner(const std::vector<Candidate>& candidates,
                              const SelectionRequest& request, double least_cost) {
  const Candidate* connected = nullptr;
  const Candidate* preferred = nullptr;
  const auto rank = [&](const Candidate& candidate) {
    return mix_hashes(request.node, candidate.runner->hash());
  };
  for (const auto& candidate : candidates) {
    const bool low = candidate.load < kConnectionLoad;
    if (!low || candidate.cost > least_cost + kConnectionCost) continue;
    if (preferred == nullptr || rank(candidate) > rank(*preferred)) preferred = &candidate;
    if (connected != nullptr && connected->cost <= candidate.cost) continue;
    if (request.connected && request.connected(*candidate.runner)) connected = &candidate;
  }
  return connected != nullptr ? connected : preferred;
}

/// Leaves only those to which a connection is kept, if there are any.
void prefer_connected(std::vector<const Candidate*>& candidates, const SelectionRequest& request) {
  if (!request.connected) return;
  std::vector<const Candidate*> connected;
  for (const Candidate* candidate : candidates) {
    if (request.connected(*candidate->runner)) connected.push_back(candidate);
  }
  if (!connected.empty()) candidates = std::move(connected);
}

const Candidate& cheapest(const std::vector<Candidate>& candidates,
                          const SelectionRequest& request) {
  const auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.cost < right.cost; });
  if (request.keep_connections) {
    const Candidate* kept = usual_runner(candidates, request, least->cost);
    if (kept != nullptr) return *kept;
  }
  std::vector<const Candidate*> equal;
  for (const auto& candidate : candidates) {
    if (candidate.cost <= least->cost + kEqualCost) equal.push_back(&candidate);
  }
  prefer_connected(equal, request);
  return *equal[process_random().below(equal.size())];
}

/// Returns the better one of two that are drawn at random, or one to which a connection is kept
/// if it is about as good.
///
/// Other nodes choose at the same moment from reports that are some 10 ms old. If all took the
/// best runner they know of, they would fill the same few beyond their places: the more nodes,
/// the more.
const Candidate& better_of_two(const std::vector<Candidate>& candidates,
                               const SelectionRequest& request) {
  const std::size_t first = process_random().below(candidates.size());
  const std::size_t others = candidates.size() - 1;
  const std::size_t second = others == 0 ? first : process_random().below(others);
  const Candidate& left = candidates[first];
  const Candidate& right = candidates[second < first || others == 0 ? second : second + 1];
  const Candidate& better = left.cost <= right.cost ? left : right;
  if (!request.connected) return better;
  const double most = better.cost * (1 + kConnectionWorth);
  std::vector<const Candidate*> as_good;
  for (const Candidate& candidate : candidates) {
    if (candidate.cost > most || !request.connected(*candidate.runner)) continue;
    as_good.push_back(&candidate);
  }
  return as_good.empty() ? better : *as_good[process_random().below(as_good.size())];
}

/// Chooses by predicted times.
const Candidate& choose_by_time(std::vector<Candidate>& candidates, const SelectionRequest& request,
                                TimePoint now) {
  predict(candidates, request, now);
  if (request.work == WorkClass::kOnline) keep_timely(candidates, request, now);
  return better_of_two(candidates, request);
}

}  // namespace

Selection select_runner(const RunnerRegistry& registry, const SelectionRequest& request,
                        TimePoint now) {
  Selection selection;
  const auto& runners = registry.of_service(request.service);
  std::vector<Candidate> candidates = collect(runners, request, now);
  if (candidates.empty()) {
    selection.failure =
        runners.empty() ? SelectionFailure::kUnknownService : SelectionFailure::kAllExcluded;
    return selection;
  }
  if (request.speeds != nullptr && request.work == WorkClass::kOnline) avoid_slow(candidates, now);
  if (request.preempt_batch) keep_preemptible(candidates, request.zone);
  if (request.turns != nullptr) keep_dealt(candidates, request, now);
  if (request.load_limit > 0) {
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return candidate.load >= request.load_limit && !is_lent(candidate, request, now);
    });
    if (candidates.empty()) {
      selection.failure = SelectionFailure::kAllBusy;
      return selection;
    }
  }
  std::vector<Candidate> local = request.borrowed_only
                                     ? prefer_own_zone(registry, candidates, request, now)
                                     : prefer_zone(candidates, request.zone, now);
  if (local.empty()) {
    selection.failure = SelectionFailure::kAllBusy;
    return selection;
  }
  compute_costs(local, request);
  // As few as they are after `choose_by_time` has left some out, they were all to choose from.
  selection.candidates = static_cast<std::uint32_t>(local.size());
  const Candidate& chosen =
      request.speeds == nullptr ? cheapest(local, request) : choose_by_time(local, request, now);
  selection.runner = chosen.runner;
  selection.tokens_to_read = chosen.tokens_to_read;
  selection.load = chosen.load;
  selection.backlog_tokens = chosen.runner->total_backlog();
  selection.warm = chosen.warm;
  selection.expected = chosen.expected;
  return selection;
}

}  // namespace stoathold
