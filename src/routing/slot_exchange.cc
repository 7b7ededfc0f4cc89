#include "routing/slot_exchange.h"

#include <algorithm>
#include <cmath>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/log_fields.h"

namespace stoathold {
namespace {

/// Maximum number of slots in one request: the response must fit into one datagram.
constexpr std::uint16_t kMaxSlotsPerRequest = 64;
/// A node whose own lending is disabled keeps maintaining its loans for this time after the last
/// request for slots. It is many times the lifetime of a loan.
constexpr Duration kLendingActivePeriod = std::chrono::seconds(10);

}  // namespace

SlotExchange::SlotExchange(RunnerRegistry& registry, std::string zone, std::uint64_t self,
                           TimePoint now)
    : registry_(registry),
      zone_(std::move(zone)),
      lender_(self, now),
      borrower_(self),
      last_active_(now) {}

/// `refresh` is called several times per loan lifetime, so a longer gap means that the process was
/// suspended.
void SlotExchange::detect_suspension(TimePoint now) {
  if (now - last_active_ > kLoanLifetime) lender_.on_process_suspended(now);
  last_active_ = now;
}

/// Nodes of other zones may enable lending earlier than this one and request slots already.
bool SlotExchange::recently_requested(TimePoint now) const {
  return last_request_at_ && now - *last_request_at_ < kLendingActivePeriod;
}

void SlotExchange::refresh(TimePoint now) {
  detect_suspension(now);
  if (!registry_.lending() && !recently_requested(now)) return;
  const std::vector<LendingNode> nodes = callbacks_.lending_nodes();
  std::vector<std::uint64_t> identities;
  for (const LendingNode& node : nodes) identities.push_back(node.identity);
  std::set<std::uint64_t> own_runners;
  for (const auto& runner : registry_.in_zone(zone_)) {
    if (nodes.empty()) break;
    if (nodes[lender_for_runner(runner->hash(), identities)].self)
      own_runners.insert(runner->hash());
  }
  lender_.set_runners(own_runners, now);
  const std::uint32_t expired = lender_.expire(now);
  if (expired > 0) {
    log_event(Event::kSlotLoansExpired, {{"zone", zone_}, {"slots", std::to_string(expired)}});
  }
  publish_lent();
}

void SlotExchange::publish_lent() {
  const auto lent = lender_.lent_by_runner();
  bool changed = false;
  for (Runner* runner : registry_.active()) {
    if (runner->lent() == 0 || lent.contains(runner->hash())) continue;
    runner->set_lent(0);
    changed = true;
  }
  for (const auto& [hash, slots] : lent) {
    Runner* runner = registry_.find_by_hash(hash);
    if (runner == nullptr || runner->lent() == slots) continue;
    runner->set_lent(slots);
    changed = true;
  }
  if (changed) callbacks_.on_lent_changed();
}

void SlotExchange::set_zones(std::vector<std::string> zones, TimePoint now) {
  zones_ = std::move(zones);
  publish_lending_zones(now);
}

/// The runners of a zone whose nodes are all unreachable still serve; requests are placed there by
/// load, as without loans.
void SlotExchange::publish_lending_zones(TimePoint now) {
  std::set<std::string> lending;
  for (const std::string& zone : zones_) {
    if (!borrower_.is_unresponsive(zone, now)) lending.insert(zone);
  }
  registry_.set_lending_zones(std::move(lending));
}

void SlotExchange::publish_borrowed() {
  borrower_.for_each(
      [this](std::uint64_t hash, std::uint16_t slots, TimePoint expires_at, bool reclaiming) {
        Runner* runner = registry_.find_by_hash(hash);
        if (runner != nullptr) runner->set_borrowed(slots, expires_at, reclaiming);
      });
}

std::uint32_t SlotExchange::online_in_flight_at(std::uint64_t runner) const {
  const Runner* found = registry_.find_by_hash(runner);
  return found == nullptr ? 0 : found->online_in_flight();
}

ZoneCapacity SlotExchange::capacity_of(std::uint64_t service, TimePoint now) const {
  ZoneCapacity capacity{.peers_waiting = static_cast<double>(registry_.peers_waiting(service))};
  for (const Runner* runner : registry_.usable(service, zone_, now)) {
    capacity.slots += runner->slots();
  }
  return capacity;
}

SlotExchange::SlotDeficit SlotExchange::largest_deficit(TimePoint now) const {
  if (!registry_.lending()) return {};
  std::map<std::uint64_t, std::vector<WaitingRequest>> by_service;
  for (const WaitingRequest& work : callbacks_.waiting_requests(now))
    by_service[work.service].push_back(work);
  SlotDeficit largest;
  for (const auto& [service, waiting] : by_service) {
    const std::uint16_t slots =
        slots_to_borrow(waiting, capacity_of(service, now), borrower_.round_trip_time());
    if (slots > largest.slots) largest = {service, std::min(slots, kMaxSlotsPerRequest)};
  }
  return largest;
}

bool SlotExchange::tick(TimePoint now) {
  detect_suspension(now);
  const SlotDeficit deficit = largest_deficit(now);
  const auto in_flight_at = [this](std::uint64_t runner) { return online_in_flight_at(runner); };
  bool active = deficit.slots > 0;
  for (std::size_t step = 0; step < zones_.size(); ++step) {
    const std::string& zone = zones_[(next_zone_ + step) % zones_.size()];
    if (deficit.slots == 0 && !borrower_.has_activity(zone, now)) continue;
    active = true;
    const std::uint32_t spare = borrower_.is_reclaiming(zone) ? 0 : deficit.slots;
    auto returned = borrower_.return_unused(zone, in_flight_at, spare, now);
    if (returned) {
      returned->forward = true;
      callbacks_.send_to_zone(zone, *returned);
    }
    const std::uint16_t uncovered = borrower_.uncovered_slots(deficit.slots, in_flight_at, now);
    auto request = borrower_.next_request(zone, deficit.service, uncovered, now);
    if (!request) continue;
    request->forward = true;
    request->origin = callbacks_.address;
    callbacks_.send_to_zone(zone, *request);
  }
  ++next_zone_;
  publish_borrowed();
  publish_lending_zones(now);
  return active;
}

void SlotExchange::handle(const SlotLoan& loan, TimePoint now) {
  detect_suspension(now);
  const std::string zone = borrower_.zone_of_request(loan.sequence);
  const bool first_loan = borrower_.held_in_zone(zone, now) == 0;
  const std::uint32_t gained = borrower_.handle_loan(loan, now);
  publish_borrowed();
  publish_lending_zones(now);
  if (gained == 0) return;
  if (first_loan) {
    log_event(Event::kSlotsBorrowed,
              {{"zone", zone},
               {"slots", std::to_string(gained)},
               {"answer_ms", milliseconds_text(borrower_.round_trip_time())}});
  }
  callbacks_.on_borrowed();
}

void SlotExchange::handle(const SlotLoanRequest& request, TimePoint now) {
  detect_suspension(now);
  last_request_at_ = now;
  if (!request.forward) return answer_request(request, now);
  const std::vector<LendingNode> nodes = callbacks_.lending_nodes();
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    SlotLoanRequest partial = request;
    partial.forward = false;
    partial.slots = slots_of_lender(request.slots, index, nodes.size(), request.sequence);
    if (nodes[index].self) {
      answer_request(partial, now);
    } else {
      callbacks_.send_to_node(nodes[index].address, partial);
    }
  }
}

void SlotExchange::handle(const SlotLoanReturn& returned, TimePoint now) {
  detect_suspension(now);
  lender_.handle_return(returned);
  publish_lent();
  if (!returned.forward) return;
  SlotLoanReturn copy = returned;
  copy.forward = false;
  for (const LendingNode& node : callbacks_.lending_nodes()) {
    if (!node.self) callbacks_.send_to_node(node.address, copy);
  }
}

std::uint32_t SlotExchange::free_slots(const Runner& runner, TimePoint now) const {
  const double occupied = std::ceil(runner.load(now) * runner.slots() - 1e-6);
  const double free = static_cast<double>(runner.slots()) - occupied;
  return free > 0 ? static_cast<std::uint32_t>(free) : 0;
}

/// Lists free slots first, runners with the most free slots before others, then slots that can be
/// freed by preempting batch items.
std::vector<RunnerSlots> SlotExchange::lendable_slots(std::uint64_t service, TimePoint now) const {
  std::vector<RunnerSlots> free;
  std::vector<RunnerSlots> preemptible;
  for (const Runner* runner : registry_.usable(service, zone_, now)) {
    const std::uint32_t slots = free_slots(*runner, now);
    if (slots > 0) free.push_back({runner->hash(), static_cast<std::uint16_t>(slots)});
    // One slot per runner at a time: the request that uses it waits at the runner until the
    // preempted item has ended.
    const bool overcommitted = runner->load(now) > 1;
    if (slots == 0 && !overcommitted && runner->preemptible() > 0) {
      preemptible.push_back({runner->hash(), 1});
    }
  }
  std::stable_sort(free.begin(), free.end(), [](const RunnerSlots& left, const RunnerSlots& right) {
    return left.slots > right.slots;
  });
  free.insert(free.end(), preemptible.begin(), preemptible.end());
  return free;
}

void SlotExchange::answer_request(const SlotLoanRequest& request, TimePoint now) {
  if (!lender_.has_runners()) return;
  const bool lacks_slots =
      registry_.peers_waiting(request.service) > 0 ||
      std::ranges::any_of(callbacks_.waiting_requests(now), [&](const WaitingRequest& work) {
        return work.service == request.service;
      });
  const std::uint64_t lent_before = lender_.counts().lent;
  const bool may_grant = request.slots > 0 && !lacks_slots;
  const auto offered =
      may_grant ? lendable_slots(request.service, now) : std::vector<RunnerSlots>{};
  const auto loan = lender_.handle_request(request, offered, lacks_slots, now);
  if (!loan) return;
  if (lender_.counts().lent > lent_before) preempt_batch(request, *loan, now);
  publish_lent();
  callbacks_.send_to_node(request.origin, *loan);
}

/// Online requests of any zone take precedence over batch items.
void SlotExchange::preempt_batch(const SlotLoanRequest& request, const SlotLoan& loan,
                                 TimePoint now) {
  for (const RunnerSlots& lent : loan.slots) {
    const Runner* runner = registry_.find_by_hash(lent.runner);
    if (runner == nullptr) continue;
    const bool granted = lent.slots > slots_at(request.held, lent.runner);
    if (!granted || free_slots(*runner, now) > 0 || runner->preemptible() == 0) continue;
    preempted_at_[request.service] = now;
    callbacks_.yield(*runner);
  }
}

std::vector<ServiceDemand> SlotExchange::demand(TimePoint now) const {
  std::vector<ServiceDemand> demand;
  for (const auto& [service, time] : preempted_at_) {
    if (now - time < kDemandReportDuration) demand.push_back({service, 0});
  }
  return demand;
}

SlotExchangeCounts SlotExchange::counts() const {
  const LenderCounts& lender = lender_.counts();
  SlotExchangeCounts counts{lender.lent, lender.refused, lender.expired};
  for (const auto& [runner, slots] : lender_.lent_by_runner()) counts.lent_now += slots;
  return counts;
}

}  // namespace stoathold
