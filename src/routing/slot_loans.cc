#include "routing/slot_loans.h"

#include <algorithm>

#include "base/ids.h"
#include "base/saturated.h"

namespace stoathold {
namespace {

/// Part of a request's slack that a predicted wait may take before another zone's slot is wanted.
constexpr double kTrustedSlack = 0.5;
/// Weight of the newest answer in the mean of their times.
constexpr double kNewestAnswer = 0.2;

}  // namespace

std::uint16_t slots_worth_borrowing(const std::vector<WaitingWork>& waiting,
                                    const ZoneSupply& supply, Duration answer_time) {
  if (waiting.empty()) return 0;
  const auto own = static_cast<double>(waiting.size());
  const double zone_per_own = (own + supply.peers_waiting) / own;
  // There and back for the loan, and there for the request.
  const Duration way = answer_time * 3 / 2;
  std::uint16_t worth = 0;
  double before = 0;
  for (const WaitingWork& work : waiting) {
    before += zone_per_own;
    const bool unknown = supply.slots <= 0 || work.slot_time.count() == 0;
    const Duration wait = unknown ? Duration::max() : scale(work.slot_time, before / supply.slots);
    if (wait > scale(work.slack - way, kTrustedSlack)) ++worth;
  }
  return worth;
}

void SlotLender::set_runners(const std::set<std::uint64_t>& runners, TimePoint now) {
  std::erase_if(owned_since_, [&](const auto& entry) { return !runners.contains(entry.first); });
  for (const std::uint64_t runner : runners) owned_since_.try_emplace(runner, now);
}

void SlotLender::suspended(TimePoint now) {
  quiet_until_ = now;
  for (auto& [runner, since] : owned_since_) since = now;
}

bool SlotLender::may_lend(std::uint64_t runner, TimePoint now) const {
  const auto owned = owned_since_.find(runner);
  if (owned == owned_since_.end()) return false;
  return now - std::max(owned->second, quiet_until_) >= kLoanLifetime;
}

std::uint32_t SlotLender::grant(Loan& loan, std::uint32_t wanted,
                                const std::vector<LentSlots>& free, TimePoint now) const {
  std::uint32_t granted = 0;
  for (const LentSlots& offer : free) {
    if (granted == wanted) break;
    if (!may_lend(offer.runner, now)) continue;
    const std::uint32_t slots = std::min<std::uint32_t>(offer.slots, wanted - granted);
    if (slots == 0) continue;
    loan.slots[offer.runner] = static_cast<std::uint16_t>(loan.slots[offer.runner] + slots);
    granted += slots;
  }
  return granted;
}

std::optional<SlotLoan> SlotLender::answer(const SlotLoanRequest& request,
                                           const std::vector<LentSlots>& free, bool reclaims,
                                           TimePoint now) {
  expire(now);
  Loan& loan = loans_[request.borrower];
  if (request.number < loan.number) return std::nullopt;
  if (request.number == loan.number) {
    // A return has the same number never: this is the request once more.
    return loan.answer.number == request.number ? std::optional(loan.answer) : std::nullopt;
  }
  loan.number = request.number;
  loan.until = now + kLoanLifetime;
  // What the borrower does not name it has given back, or never heard of. What it names it has,
  // though another node may have lent it.
  loan.slots.clear();
  for (const LentSlots& held : request.held) {
    if (owned_since_.contains(held.runner)) loan.slots[held.runner] = held.slots;
  }
  const std::uint32_t granted = reclaims ? 0 : grant(loan, request.slots, free, now);
  counts_.lent += granted;
  if (request.slots > 0 && granted == 0) ++counts_.refused;
  loan.answer = {.lender = self_,
                 .number = request.number,
                 .lifetime_ms = saturated_milliseconds(kLoanLifetime),
                 .reclaims = reclaims};
  for (const auto& [runner, slots] : loan.slots) loan.answer.slots.push_back({runner, slots});
  return loan.answer;
}

void SlotLender::take_back(const SlotLoanReturn& returned) {
  const auto found = loans_.find(returned.borrower);
  if (found == loans_.end() || returned.number <= found->second.number) return;
  Loan& loan = found->second;
  loan.number = returned.number;
  for (const LentSlots& back : returned.slots) {
    const auto lent = loan.slots.find(back.runner);
    if (lent == loan.slots.end()) continue;
    lent->second = static_cast<std::uint16_t>(lent->second - std::min(lent->second, back.slots));
    if (lent->second == 0) loan.slots.erase(lent);
  }
}

std::uint32_t SlotLender::expire(TimePoint now) {
  std::uint32_t ended = 0;
  std::erase_if(loans_, [&](const auto& entry) {
    if (now < entry.second.until) return false;
    for (const auto& [runner, slots] : entry.second.slots) ended += slots;
    return true;
  });
  counts_.expired += ended;
  return ended;
}

std::map<std::uint64_t, std::uint32_t> SlotLender::lent() const {
  std::map<std::uint64_t, std::uint32_t> sums;
  for (const auto& [borrower, loan] : loans_) {
    for (const auto& [runner, slots] : loan.slots) sums[runner] += slots;
  }
  return sums;
}

void SlotBorrower::forget_ended(ZoneBook& book, TimePoint now) {
  std::erase_if(book.held, [now](const auto& entry) {
    return entry.second.until <= now || entry.second.slots == 0;
  });
}

/// The answer to a request under way counts what the request names.
bool SlotBorrower::is_awaited(const ZoneBook& book, TimePoint now) {
  const bool unanswered = book.newest.number != 0 && book.answered.empty();
  return unanswered && now - book.sent < kLoanAnswerPatience;
}

bool SlotBorrower::is_due(const ZoneBook& book, bool wants, TimePoint now) {
  const Duration age = now - book.sent;
  if (book.newest.number == 0) return wants;
  if (is_awaited(book, now)) return false;
  if (!book.held.empty() && age >= kLoanRenewal) return true;
  if (!wants) return false;
  const bool refused = !book.answered.empty() && book.newest.slots > 0 && book.gained == 0;
  return !refused || age >= (book.reclaimed ? kLoanReclaimedPause : kLoanRefusedPause);
}

std::optional<SlotLoanRequest> SlotBorrower::next_request(const std::string& zone,
                                                          std::uint64_t service,
                                                          std::uint16_t slots, TimePoint now) {
  ZoneBook& book = zones_[zone];
  forget_ended(book, now);
  if (!is_due(book, slots > 0, now)) return std::nullopt;
  book.newest = {.service = service, .borrower = self_, .number = ++number_, .slots = slots};
  for (const auto& [runner, held] : book.held) book.newest.held.push_back({runner, held.slots});
  book.sent = now;
  if (book.unanswered_since == TimePoint{}) book.unanswered_since = now;
  book.answered.clear();
  book.gained = 0;
  return book.newest;
}

std::uint32_t SlotBorrower::take(const SlotLoan& loan, TimePoint now) {
  const auto found = zones_.find(zone_of_request(loan.number));
  if (found == zones_.end()) return 0;
  ZoneBook& book = found->second;
  const TimePoint until =
      book.sent + std::min<Duration>(kLoanLifetime, std::chrono::milliseconds(loan.lifetime_ms));
  if (now >= until || !book.answered.insert(loan.lender).second) return 0;
  if (book.answered.size() == 1) note_answer_time(now - book.sent);
  book.unanswered_since = {};
  book.reclaimed = loan.reclaims;
  std::uint32_t gained = 0;
  for (const LentSlots& lent : loan.slots) {
    const std::uint16_t before = slots_at(book.newest.held, lent.runner);
    const std::uint16_t more = lent.slots - std::min(lent.slots, before);
    Held& held = book.held[lent.runner];
    held.slots = static_cast<std::uint16_t>(held.slots + more);
    held.until = std::max(held.until, until);
    gained += more;
  }
  book.gained += gained;
  return gained;
}

void SlotBorrower::note_answer_time(Duration time) {
  const bool first = answer_time_.count() == 0;
  answer_time_ = first ? time : answer_time_ + scale(time - answer_time_, kNewestAnswer);
}

std::uint16_t SlotBorrower::lacking(std::uint16_t wanted,
                                    const std::function<std::uint32_t(std::uint64_t runner)>& used,
                                    TimePoint now) const {
  std::uint32_t covered = 0;
  for (const auto& [zone, book] : zones_) {
    if (is_awaited(book, now)) covered += book.newest.slots;
    for (const auto& [runner, held] : book.held) {
      if (now < held.until)
        covered += held.slots - std::min<std::uint32_t>(held.slots, used(runner));
    }
  }
  return static_cast<std::uint16_t>(wanted - std::min<std::uint32_t>(wanted, covered));
}

std::uint32_t SlotBorrower::held(std::uint64_t runner, TimePoint now) const {
  for (const auto& [zone, book] : zones_) {
    const auto found = book.held.find(runner);
    if (found != book.held.end() && now < found->second.until) return found->second.slots;
  }
  return 0;
}

std::optional<SlotLoanReturn> SlotBorrower::give_back(
    const std::string& zone, const std::function<std::uint32_t(std::uint64_t runner)>& used,
    std::uint32_t spare, TimePoint now) {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return std::nullopt;
  ZoneBook& book = found->second;
  forget_ended(book, now);
  if (is_awaited(book, now)) return std::nullopt;
  SlotLoanReturn returned{.borrower = self_};
  for (auto& [runner, held] : book.held) {
    const std::uint32_t in_use = std::min<std::uint32_t>(held.slots, used(runner));
    const std::uint32_t kept = std::min<std::uint32_t>(spare, held.slots - in_use);
    spare -= kept;
    const auto back = static_cast<std::uint16_t>(held.slots - in_use - kept);
    if (back == 0) continue;
    held.slots = static_cast<std::uint16_t>(held.slots - back);
    returned.slots.push_back({runner, back});
  }
  if (returned.slots.empty()) return std::nullopt;
  returned.number = ++number_;
  return returned;
}

std::string SlotBorrower::zone_of_request(std::uint64_t number) const {
  const auto found = std::find_if(zones_.begin(), zones_.end(), [number](const auto& entry) {
    return entry.second.newest.number == number;
  });
  return found == zones_.end() ? std::string() : found->first;
}

bool SlotBorrower::reclaimed(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.reclaimed;
}

bool SlotBorrower::silent(const std::string& zone, TimePoint now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end() || found->second.unanswered_since == TimePoint{}) return false;
  return now - found->second.unanswered_since >= kLoanLifetime;
}

std::uint32_t SlotBorrower::held_in(const std::string& zone, TimePoint now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return 0;
  std::uint32_t sum = 0;
  for (const auto& [runner, held] : found->second.held) sum += now < held.until ? held.slots : 0;
  return sum;
}

bool SlotBorrower::involved(const std::string& zone, TimePoint now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return false;
  return held_in(zone, now) > 0 || now - found->second.sent < kLoanAnswerPatience;
}

std::size_t lender_of(std::uint64_t runner, const std::vector<std::uint64_t>& lenders) {
  std::size_t best = 0;
  for (std::size_t index = 1; index < lenders.size(); ++index) {
    if (mix_hashes(runner, lenders[index]) > mix_hashes(runner, lenders[best])) best = index;
  }
  return best;
}

std::uint16_t part_of_lender(std::uint16_t slots, std::size_t index, std::size_t lenders,
                             std::uint64_t turn) {
  const std::size_t rest = slots % lenders;
  const std::size_t place = (index + turn) % lenders;
  return static_cast<std::uint16_t>(slots / lenders + (place < rest ? 1 : 0));
}

}  // namespace stoathold
