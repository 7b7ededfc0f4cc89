#include "routing/slot_exchange.h"

#include <algorithm>
#include <cmath>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"

namespace stoathold {
namespace {

/// Most slots that one request asks for: as many as the answer can name in one datagram.
constexpr std::uint16_t kMostWanted = 64;
/// A node that lends nothing of itself looks after slots for so long after it was asked for some:
/// many times a loan's lifetime.
constexpr Duration kAskedLately = std::chrono::seconds(10);

}  // namespace

SlotExchange::SlotExchange(RunnerRegistry& registry, std::string zone, std::uint64_t self,
                           TimePoint now)
    : registry_(registry),
      zone_(std::move(zone)),
      lender_(self, now),
      borrower_(self),
      last_alive_(now) {}

/// `refresh` comes several times in a lifetime, unless the process stood still.
void SlotExchange::note_alive(TimePoint now) {
  if (now - last_alive_ > kLoanLifetime) lender_.suspended(now);
  last_alive_ = now;
}

/// Other zones lend before this one does, if they have seen sooner what calls for it.
bool SlotExchange::asked_lately(TimePoint now) const {
  return asked_at_ && now - *asked_at_ < kAskedLately;
}

void SlotExchange::refresh(TimePoint now) {
  note_alive(now);
  if (!registry_.lending() && !asked_lately(now)) return;
  const std::vector<LendingNode> nodes = links_.lending_nodes();
  std::vector<std::uint64_t> identities;
  for (const LendingNode& node : nodes) identities.push_back(node.identity);
  std::set<std::uint64_t> own;
  for (const auto& [id, runner] : registry_.all()) {
    if (runner->record().zone != zone_ || nodes.empty()) continue;
    if (nodes[lender_of(runner->hash(), identities)].self) own.insert(runner->hash());
  }
  lender_.set_runners(own, now);
  const std::uint32_t ended = lender_.expire(now);
  if (ended > 0) {
    log_event(Event::kSlotLoansExpired, {{"zone", zone_}, {"slots", std::to_string(ended)}});
  }
  publish_lent();
}

void SlotExchange::publish_lent() {
  const auto lent = lender_.lent();
  bool changed = false;
  for (const auto& [id, runner] : registry_.all()) {
    const auto found = lent.find(runner->hash());
    const std::uint32_t slots = found == lent.end() ? 0 : found->second;
    if (runner->lent() == slots) continue;
    runner->set_lent(slots);
    changed = true;
  }
  if (changed) links_.lent_changed();
}

void SlotExchange::set_zones(std::vector<std::string> zones, TimePoint now) {
  zones_ = std::move(zones);
  publish_lending_zones(now);
}

/// Runners of a zone whose nodes are all gone still serve: work goes there as without loans.
void SlotExchange::publish_lending_zones(TimePoint now) {
  std::set<std::string> lending;
  for (const std::string& zone : zones_) {
    if (!borrower_.silent(zone, now)) lending.insert(zone);
  }
  registry_.set_lending_zones(std::move(lending));
}

void SlotExchange::publish_borrowed() {
  borrower_.for_each(
      [this](std::uint64_t hash, std::uint16_t slots, TimePoint until, bool reclaimed) {
        Runner* runner = registry_.find_hash(hash);
        if (runner != nullptr) runner->set_borrowed(slots, until, reclaimed);
      });
}

std::uint32_t SlotExchange::used(std::uint64_t runner) const {
  const Runner* found = registry_.find_hash(runner);
  return found == nullptr ? 0 : found->online_in_flight();
}

ZoneSupply SlotExchange::supply_of(std::uint64_t service, TimePoint now) const {
  ZoneSupply supply{.peers_waiting = static_cast<double>(registry_.peers_waiting(service))};
  for (const Runner* runner : registry_.usable(service, zone_, now)) {
    supply.slots += runner->slots();
  }
  return supply;
}

SlotExchange::Want SlotExchange::greatest_want(TimePoint now) const {
  if (!registry_.lending()) return {};
  std::map<std::uint64_t, std::vector<WaitingWork>> by_service;
  for (const WaitingWork& work : links_.waiting(now)) by_service[work.service].push_back(work);
  Want greatest;
  for (const auto& [service, waiting] : by_service) {
    const std::uint16_t slots =
        slots_worth_borrowing(waiting, supply_of(service, now), borrower_.answer_time());
    if (slots > greatest.slots) greatest = {service, std::min(slots, kMostWanted)};
  }
  return greatest;
}

bool SlotExchange::tick(TimePoint now) {
  note_alive(now);
  const Want want = greatest_want(now);
  const auto used_at = [this](std::uint64_t runner) { return used(runner); };
  bool active = want.slots > 0;
  for (std::size_t step = 0; step < zones_.size(); ++step) {
    const std::string& zone = zones_[(turn_ + step) % zones_.size()];
    if (want.slots == 0 && !borrower_.involved(zone, now)) continue;
    active = true;
    const std::uint32_t spare = borrower_.reclaimed(zone) ? 0 : want.slots;
    auto returned = borrower_.give_back(zone, used_at, spare, now);
    if (returned) {
      returned->pass_on = true;
      links_.send_to_zone(zone, *returned);
    }
    const std::uint16_t lacking = borrower_.lacking(want.slots, used_at, now);
    auto request = borrower_.next_request(zone, want.service, lacking, now);
    if (!request) continue;
    request->pass_on = true;
    request->origin = links_.address;
    links_.send_to_zone(zone, *request);
  }
  ++turn_;
  publish_borrowed();
  publish_lending_zones(now);
  return active;
}

void SlotExchange::take(const SlotLoan& loan, TimePoint now) {
  note_alive(now);
  const std::string zone = borrower_.zone_of_request(loan.number);
  const bool first = borrower_.held_in(zone, now) == 0;
  const std::uint32_t gained = borrower_.take(loan, now);
  publish_borrowed();
  publish_lending_zones(now);
  if (gained == 0) return;
  if (first) {
    log_event(Event::kSlotsBorrowed, {{"zone", zone},
                                      {"slots", std::to_string(gained)},
                                      {"answer_ms", milliseconds_text(borrower_.answer_time())}});
  }
  links_.borrowed();
}

void SlotExchange::take(const SlotLoanRequest& request, TimePoint now) {
  note_alive(now);
  asked_at_ = now;
  if (!request.pass_on) return lend(request, now);
  const std::vector<LendingNode> nodes = links_.lending_nodes();
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    SlotLoanRequest part = request;
    part.pass_on = false;
    part.slots = part_of_lender(request.slots, index, nodes.size(), request.number);
    if (nodes[index].self) {
      lend(part, now);
    } else {
      links_.send_to_node(nodes[index].address, part);
    }
  }
}

void SlotExchange::take(const SlotLoanReturn& returned, TimePoint now) {
  note_alive(now);
  lender_.take_back(returned);
  publish_lent();
  if (!returned.pass_on) return;
  SlotLoanReturn copy = returned;
  copy.pass_on = false;
  for (const LendingNode& node : links_.lending_nodes()) {
    if (!node.self) links_.send_to_node(node.address, copy);
  }
}

std::uint32_t SlotExchange::free_slots(const Runner& runner, TimePoint now) const {
  const double taken = std::ceil(runner.load(now) * runner.slots() - 1e-6);
  const double free = static_cast<double>(runner.slots()) - taken;
  return free > 0 ? static_cast<std::uint32_t>(free) : 0;
}

/// Free slots first, the emptiest runners before others; then those that batch would give back.
std::vector<LentSlots> SlotExchange::offers(std::uint64_t service, TimePoint now) const {
  std::vector<LentSlots> free;
  std::vector<LentSlots> of_batch;
  for (const Runner* runner : registry_.usable(service, zone_, now)) {
    const std::uint32_t slots = free_slots(*runner, now);
    if (slots > 0) free.push_back({runner->hash(), static_cast<std::uint16_t>(slots)});
    // One at a time: each makes a request wait at the runner for the moment that an item takes to
    // end.
    const bool overcommitted = runner->load(now) > 1;
    if (slots == 0 && !overcommitted && runner->preemptible() > 0) {
      of_batch.push_back({runner->hash(), 1});
    }
  }
  std::stable_sort(free.begin(), free.end(), [](const LentSlots& left, const LentSlots& right) {
    return left.slots > right.slots;
  });
  free.insert(free.end(), of_batch.begin(), of_batch.end());
  return free;
}

void SlotExchange::lend(const SlotLoanRequest& request, TimePoint now) {
  if (!lender_.lends()) return;
  const bool lacks = registry_.peers_waiting(request.service) > 0 ||
                     std::ranges::any_of(links_.waiting(now), [&](const WaitingWork& work) {
                       return work.service == request.service;
                     });
  const std::uint64_t lent_before = lender_.counts().lent;
  const bool may_grant = request.slots > 0 && !lacks;
  const auto offered = may_grant ? offers(request.service, now) : std::vector<LentSlots>{};
  const auto loan = lender_.answer(request, offered, lacks, now);
  if (!loan) return;
  if (lender_.counts().lent > lent_before) make_batch_yield(request, *loan, now);
  publish_lent();
  links_.send_to_node(request.origin, *loan);
}

/// Online work goes before batch, whatever its zone.
void SlotExchange::make_batch_yield(const SlotLoanRequest& request, const SlotLoan& loan,
                                    TimePoint now) {
  for (const LentSlots& lent : loan.slots) {
    const Runner* runner = registry_.find_hash(lent.runner);
    if (runner == nullptr) continue;
    const bool granted = lent.slots > slots_at(request.held, lent.runner);
    if (!granted || free_slots(*runner, now) > 0 || runner->preemptible() == 0) continue;
    preempted_at_[request.service] = now;
    links_.yield(*runner);
  }
}

std::vector<ServiceDemand> SlotExchange::demand(TimePoint now) const {
  std::vector<ServiceDemand> demand;
  for (const auto& [service, time] : preempted_at_) {
    if (now - time < kDemandShown) demand.push_back({service, 0});
  }
  return demand;
}

SlotExchangeCounts SlotExchange::counts() const {
  const LenderCounts& lender = lender_.counts();
  SlotExchangeCounts counts{lender.lent, lender.refused, lender.expired};
  for (const auto& [runner, slots] : lender_.lent()) counts.lent_now += slots;
  return counts;
}

}  // namespace stoathold
