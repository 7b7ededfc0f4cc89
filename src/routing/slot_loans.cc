#include "routing/slot_loans.h"

#include <algorithm>

#include "base/ids.h"
#include "base/saturating_cast.h"

namespace stoathold {
namespace {

/// Fraction of a request's slack that its predicted wait may use up before a slot of another zone
/// is requested.
constexpr double kUsableSlackFraction = 0.5;
/// Weight of the newest sample in the moving average of round-trip times.
constexpr double kRoundTripWeight = 0.2;

}  // namespace

std::uint16_t slots_to_borrow(const std::vector<WaitingRequest>& waiting,
                              const ZoneCapacity& capacity, Duration round_trip_time) {
  if (waiting.empty()) return 0;
  const auto own_requests = static_cast<double>(waiting.size());
  const double zone_requests_per_own_request =
      (own_requests + capacity.peers_waiting) / own_requests;
  // A round trip for the loan, and one way for the request itself.
  const Duration transit_time = round_trip_time * 3 / 2;
  std::uint16_t count = 0;
  double queue_position = 0;
  for (const WaitingRequest& work : waiting) {
    queue_position += zone_requests_per_own_request;
    const bool unpredictable = capacity.slots <= 0 || work.slot_time.count() == 0;
    const Duration wait =
        unpredictable ? Duration::max() : scale(work.slot_time, queue_position / capacity.slots);
    if (wait > scale(work.slack - transit_time, kUsableSlackFraction)) ++count;
  }
  return count;
}

void SlotLender::set_runners(const std::set<std::uint64_t>& runners, TimePoint now) {
  std::erase_if(owned_since_, [&](const auto& entry) { return !runners.contains(entry.first); });
  for (const std::uint64_t runner : runners) owned_since_.try_emplace(runner, now);
}

void SlotLender::on_process_suspended(TimePoint now) {
  last_interruption_ = now;
  for (auto& [runner, since] : owned_since_) since = now;
}

bool SlotLender::may_lend(std::uint64_t runner, TimePoint now) const {
  const auto owned = owned_since_.find(runner);
  if (owned == owned_since_.end()) return false;
  return now - std::max(owned->second, last_interruption_) >= kLoanLifetime;
}

std::uint32_t SlotLender::grant(Loan& loan, std::uint32_t wanted,
                                const std::vector<RunnerSlots>& free, TimePoint now) const {
  std::uint32_t granted = 0;
  for (const RunnerSlots& offer : free) {
    if (granted == wanted) break;
    if (!may_lend(offer.runner, now)) continue;
    const std::uint32_t slots = std::min<std::uint32_t>(offer.slots, wanted - granted);
    if (slots == 0) continue;
    loan.slots[offer.runner] = static_cast<std::uint16_t>(loan.slots[offer.runner] + slots);
    granted += slots;
  }
  return granted;
}

std::optional<SlotLoan> SlotLender::handle_request(const SlotLoanRequest& request,
                                                   const std::vector<RunnerSlots>& free,
                                                   bool reclaiming, TimePoint now) {
  expire(now);
  Loan& loan = loans_[request.borrower];
  if (request.sequence < loan.sequence) return std::nullopt;
  if (request.sequence == loan.sequence) {
    // Requests and returns never share a sequence number, so this is a duplicate of the newest
    // request, and the response is sent again.
    return loan.response.sequence == request.sequence ? std::optional(loan.response) : std::nullopt;
  }
  loan.sequence = request.sequence;
  loan.expires_at = now + kLoanLifetime;
  // Slots that the request does not list were returned, or their loan never reached the borrower.
  // Slots that it lists are held, although another lender may have granted them.
  loan.slots.clear();
  for (const RunnerSlots& held : request.held) {
    if (owned_since_.contains(held.runner)) loan.slots[held.runner] = held.slots;
  }
  const std::uint32_t granted = reclaiming ? 0 : grant(loan, request.slots, free, now);
  counts_.lent += granted;
  if (request.slots > 0 && granted == 0) ++counts_.refused;
  loan.response = {.lender = self_,
                   .sequence = request.sequence,
                   .lifetime_ms = saturating_milliseconds(kLoanLifetime),
                   .reclaiming = reclaiming};
  for (const auto& [runner, slots] : loan.slots) loan.response.slots.push_back({runner, slots});
  return loan.response;
}

void SlotLender::handle_return(const SlotLoanReturn& returned) {
  const auto found = loans_.find(returned.borrower);
  if (found == loans_.end() || returned.sequence <= found->second.sequence) return;
  Loan& loan = found->second;
  loan.sequence = returned.sequence;
  for (const RunnerSlots& returned_slots : returned.slots) {
    const auto lent = loan.slots.find(returned_slots.runner);
    if (lent == loan.slots.end()) continue;
    lent->second =
        static_cast<std::uint16_t>(lent->second - std::min(lent->second, returned_slots.slots));
    if (lent->second == 0) loan.slots.erase(lent);
  }
}

std::uint32_t SlotLender::expire(TimePoint now) {
  std::uint32_t ended = 0;
  std::erase_if(loans_, [&](const auto& entry) {
    if (now < entry.second.expires_at) return false;
    for (const auto& [runner, slots] : entry.second.slots) ended += slots;
    return true;
  });
  counts_.expired += ended;
  return ended;
}

std::map<std::uint64_t, std::uint32_t> SlotLender::lent_by_runner() const {
  std::map<std::uint64_t, std::uint32_t> sums;
  for (const auto& [borrower, loan] : loans_) {
    for (const auto& [runner, slots] : loan.slots) sums[runner] += slots;
  }
  return sums;
}

void SlotBorrower::drop_expired(ZoneState& state, TimePoint now) {
  std::erase_if(state.held, [now](const auto& entry) {
    return entry.second.expires_at <= now || entry.second.slots == 0;
  });
}

/// While a request is pending, no slot that it lists as held may be returned: its response counts
/// them as lent.
bool SlotBorrower::is_pending(const ZoneState& state, TimePoint now) {
  const bool unanswered = state.last_request.sequence != 0 && state.responders.empty();
  return unanswered && now - state.sent_at < kLoanRequestTimeout;
}

bool SlotBorrower::is_due(const ZoneState& state, bool wants_slots, TimePoint now) {
  const Duration age = now - state.sent_at;
  if (state.last_request.sequence == 0) return wants_slots;
  if (is_pending(state, now)) return false;
  if (!state.held.empty() && age >= kLoanRenewalInterval) return true;
  if (!wants_slots) return false;
  const bool refused =
      !state.responders.empty() && state.last_request.slots > 0 && state.slots_gained == 0;
  return !refused || age >= (state.reclaiming ? kLoanReclaimedBackoff : kLoanRefusedBackoff);
}

std::optional<SlotLoanRequest> SlotBorrower::next_request(const std::string& zone,
                                                          std::uint64_t service,
                                                          std::uint16_t slots, TimePoint now) {
  ZoneState& state = zones_[zone];
  drop_expired(state, now);
  if (!is_due(state, slots > 0, now)) return std::nullopt;
  state.last_request = {
      .service = service, .borrower = self_, .sequence = ++sequence_, .slots = slots};
  for (const auto& [runner, held] : state.held)
    state.last_request.held.push_back({runner, held.slots});
  state.sent_at = now;
  if (state.unanswered_since == TimePoint{}) state.unanswered_since = now;
  state.responders.clear();
  state.slots_gained = 0;
  return state.last_request;
}

std::uint32_t SlotBorrower::handle_loan(const SlotLoan& loan, TimePoint now) {
  const auto found = zones_.find(zone_of_request(loan.sequence));
  if (found == zones_.end()) return 0;
  ZoneState& state = found->second;
  const TimePoint expires_at =
      state.sent_at +
      std::min<Duration>(kLoanLifetime, std::chrono::milliseconds(loan.lifetime_ms));
  if (now >= expires_at || !state.responders.insert(loan.lender).second) return 0;
  if (state.responders.size() == 1) record_round_trip(now - state.sent_at);
  state.unanswered_since = {};
  state.reclaiming = loan.reclaiming;
  std::uint32_t gained = 0;
  for (const RunnerSlots& lent : loan.slots) {
    const std::uint16_t previous = slots_at(state.last_request.held, lent.runner);
    const std::uint16_t more = lent.slots - std::min(lent.slots, previous);
    HeldSlots& held = state.held[lent.runner];
    held.slots = static_cast<std::uint16_t>(held.slots + more);
    held.expires_at = std::max(held.expires_at, expires_at);
    gained += more;
  }
  state.slots_gained += gained;
  return gained;
}

void SlotBorrower::record_round_trip(Duration time) {
  const bool first = round_trip_time_.count() == 0;
  round_trip_time_ =
      first ? time : round_trip_time_ + scale(time - round_trip_time_, kRoundTripWeight);
}

std::uint16_t SlotBorrower::uncovered_slots(
    std::uint16_t wanted, const std::function<std::uint32_t(std::uint64_t runner)>& used,
    TimePoint now) const {
  std::uint32_t covered = 0;
  for (const auto& [zone, state] : zones_) {
    if (is_pending(state, now)) covered += state.last_request.slots;
    for (const auto& [runner, held] : state.held) {
      if (now < held.expires_at)
        covered += held.slots - std::min<std::uint32_t>(held.slots, used(runner));
    }
  }
  return static_cast<std::uint16_t>(wanted - std::min<std::uint32_t>(wanted, covered));
}

std::uint32_t SlotBorrower::held_at(std::uint64_t runner, TimePoint now) const {
  for (const auto& [zone, state] : zones_) {
    const auto found = state.held.find(runner);
    if (found != state.held.end() && now < found->second.expires_at) return found->second.slots;
  }
  return 0;
}

std::optional<SlotLoanReturn> SlotBorrower::return_unused(
    const std::string& zone, const std::function<std::uint32_t(std::uint64_t runner)>& used,
    std::uint32_t spare, TimePoint now) {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return std::nullopt;
  ZoneState& state = found->second;
  drop_expired(state, now);
  if (is_pending(state, now)) return std::nullopt;
  SlotLoanReturn returned{.borrower = self_};
  for (auto& [runner, held] : state.held) {
    const std::uint32_t in_use = std::min<std::uint32_t>(held.slots, used(runner));
    const std::uint32_t kept = std::min<std::uint32_t>(spare, held.slots - in_use);
    spare -= kept;
    const auto returned_slots = static_cast<std::uint16_t>(held.slots - in_use - kept);
    if (returned_slots == 0) continue;
    held.slots = static_cast<std::uint16_t>(held.slots - returned_slots);
    returned.slots.push_back({runner, returned_slots});
  }
  if (returned.slots.empty()) return std::nullopt;
  returned.sequence = ++sequence_;
  return returned;
}

std::string SlotBorrower::zone_of_request(std::uint64_t sequence) const {
  const auto found = std::find_if(zones_.begin(), zones_.end(), [sequence](const auto& entry) {
    return entry.second.last_request.sequence == sequence;
  });
  return found == zones_.end() ? std::string() : found->first;
}

bool SlotBorrower::is_reclaiming(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.reclaiming;
}

bool SlotBorrower::is_unresponsive(const std::string& zone, TimePoint now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end() || found->second.unanswered_since == TimePoint{}) return false;
  return now - found->second.unanswered_since >= kLoanLifetime;
}

std::uint32_t SlotBorrower::held_in_zone(const std::string& zone, TimePoint now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return 0;
  std::uint32_t sum = 0;
  for (const auto& [runner, held] : found->second.held)
    sum += now < held.expires_at ? held.slots : 0;
  return sum;
}

bool SlotBorrower::has_activity(const std::string& zone, TimePoint now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return false;
  return held_in_zone(zone, now) > 0 || now - found->second.sent_at < kLoanRequestTimeout;
}

std::size_t lender_for_runner(std::uint64_t runner, const std::vector<std::uint64_t>& lenders) {
  std::size_t best = 0;
  for (std::size_t index = 1; index < lenders.size(); ++index) {
    if (mix_hashes(runner, lenders[index]) > mix_hashes(runner, lenders[best])) best = index;
  }
  return best;
}

std::uint16_t slots_of_lender(std::uint16_t slots, std::size_t index, std::size_t lenders,
                              std::uint64_t rotation) {
  const std::size_t remainder = slots % lenders;
  const std::size_t position = (index + rotation) % lenders;
  return static_cast<std::uint16_t>(slots / lenders + (position < remainder ? 1 : 0));
}

}  // namespace stoathold
