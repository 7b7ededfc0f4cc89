// How the messages by which zones lend one another slots travel.
#include <boost/asio/ip/address.hpp>

#include "base/ids.h"
#include "base/random.h"
#include "net/http.h"
#include "routing/peer_loads.h"

namespace stoathold {
namespace {

/// While work waits or slots are held, what is to be asked for or given back is looked at this
/// often: small beside the time that a slot is used, and what comes within it goes out together.
constexpr Duration kSlotTick = std::chrono::milliseconds(3);

}  // namespace

void PeerLoads::share_slots(SlotExchange& exchange,
                            std::function<std::vector<WaitingWork>(TimePoint now)> waiting) {
  slots_ = &exchange;
  SlotExchangeLinks links;
  links.address = address();
  links.send_to_zone = [this](const std::string& zone, const PeerLoadMessage& message) {
    const auto found = remote_zones_.find(zone);
    if (found == remote_zones_.end()) return;
    // Another node each time: one that is gone costs one message.
    const auto& nodes = found->second;
    send_to(nodes[process_random().below(nodes.size())], encode_message(message));
  };
  links.send_to_node = [this](const std::string& address, const PeerLoadMessage& message) {
    boost::asio::ip::tcp::endpoint endpoint;
    if (!parse_endpoint(address, endpoint)) return;
    send_to({endpoint.address(), endpoint.port()}, encode_message(message));
  };
  links.lending_nodes = [this] { return lending_nodes(); };
  links.lent_changed = [this] { use_changed(); };
  links.borrowed = [this] {
    if (listener_) listener_();
  };
  links.yield = [this](const Runner& runner) {
    const YieldRequest request{runner.record().service, zone_, runner.hash()};
    const bool asked = ask_for_place(request);
    if (!asked && yield_handler_) yield_handler_(request);
  };
  links.waiting = std::move(waiting);
  exchange.set_links(std::move(links));
}

std::vector<LendingNode> PeerLoads::lending_nodes() const {
  const Endpoint self = socket_.local_endpoint();
  std::vector<LendingNode> nodes;
  for (const Endpoint& endpoint : zone_nodes_.zone_reporters(self, monotonic_now())) {
    const std::string address = address_text(endpoint);
    nodes.push_back({stable_hash(address), address, endpoint == self});
  }
  return nodes;
}

/// Inside the zone the use of a node is what it lends, too. To the zone of a runner its lenders
/// tell what this node has borrowed there.
std::uint32_t PeerLoads::use_to_report(const Runner& runner, bool own_zone, TimePoint now) const {
  return own_zone ? runner.in_flight() + runner.lent() : runner.in_flight_beyond_loan(now);
}

void PeerLoads::take_slot_message(const PeerLoadMessage& message) {
  const TimePoint now = monotonic_now();
  if (const auto* request = std::get_if<SlotLoanRequest>(&message)) {
    slots_->take(*request, now);
  } else if (const auto* loan = std::get_if<SlotLoan>(&message)) {
    slots_->take(*loan, now);
  } else if (const auto* returned = std::get_if<SlotLoanReturn>(&message)) {
    slots_->take(*returned, now);
  }
}

void PeerLoads::schedule_slots() {
  if (slots_scheduled_) return;
  slots_scheduled_ = true;
  slots_timer_.expires_after(kSlotTick);
  slots_timer_.async_wait([this](boost::system::error_code error) {
    slots_scheduled_ = false;
    if (!error && slots_->tick(monotonic_now())) schedule_slots();
  });
}

}  // namespace stoathold
