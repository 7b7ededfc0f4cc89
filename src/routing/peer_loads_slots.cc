// Transport of the messages by which zones lend slots to one another.
#include <boost/asio/ip/address.hpp>

#include "base/ids.h"
#include "base/random.h"
#include "net/http.h"
#include "routing/peer_loads.h"

namespace stoathold {
namespace {

/// Interval at which slots are requested and returned while requests wait or slots are held. It is
/// short compared with the time for which a request occupies a slot; changes within it are sent
/// together.
constexpr Duration kSlotTickInterval = std::chrono::milliseconds(3);

}  // namespace

void PeerLoads::set_slot_exchange(
    SlotExchange& exchange, std::function<std::vector<WaitingRequest>(TimePoint now)> waiting) {
  slot_exchange_ = &exchange;
  SlotExchangeCallbacks callbacks;
  callbacks.address = address();
  callbacks.send_to_zone = [this](const std::string& zone, const PeerLoadMessage& message) {
    const auto found = remote_zones_.find(zone);
    if (found == remote_zones_.end()) return;
    // A random node each time, so that a node that is down costs only one message.
    const auto& nodes = found->second;
    send_to(nodes[process_random().below(nodes.size())], make_datagram(message));
  };
  callbacks.send_to_node = [this](const std::string& address, const PeerLoadMessage& message) {
    boost::asio::ip::tcp::endpoint endpoint;
    if (!parse_endpoint(address, endpoint)) return;
    send_to({endpoint.address(), endpoint.port()}, make_datagram(message));
  };
  callbacks.lending_nodes = [this] { return lending_nodes(); };
  callbacks.on_lent_changed = [this] { notify_use_changed(); };
  callbacks.on_borrowed = [this] {
    if (change_listener_) change_listener_();
  };
  callbacks.yield = [this](const Runner& runner) {
    const YieldRequest request{runner.record().service, zone_, runner.hash()};
    const bool sent = send_yield_request(request);
    if (!sent && yield_handler_) yield_handler_(request);
  };
  callbacks.waiting_requests = std::move(waiting);
  exchange.set_callbacks(std::move(callbacks));
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

/// Inside its own zone a node reports the slots that it lends as in use. To the zone of a remote
/// runner it reports only what exceeds its loan, since the lenders there report the loan itself.
std::uint32_t PeerLoads::reported_in_flight(const Runner& runner, bool own_zone,
                                            TimePoint now) const {
  return own_zone ? runner.in_flight() + runner.lent() : runner.in_flight_beyond_loan(now);
}

void PeerLoads::handle_slot_message(const PeerLoadMessage& message) {
  const TimePoint now = monotonic_now();
  if (const auto* request = std::get_if<SlotLoanRequest>(&message)) {
    slot_exchange_->handle(*request, now);
  } else if (const auto* loan = std::get_if<SlotLoan>(&message)) {
    slot_exchange_->handle(*loan, now);
  } else if (const auto* returned = std::get_if<SlotLoanReturn>(&message)) {
    slot_exchange_->handle(*returned, now);
  }
}

void PeerLoads::schedule_slot_tick() {
  if (slot_tick_scheduled_) return;
  slot_tick_scheduled_ = true;
  slot_tick_timer_.expires_after(kSlotTickInterval);
  slot_tick_timer_.async_wait([this](boost::system::error_code error) {
    slot_tick_scheduled_ = false;
    if (!error && slot_exchange_->tick(monotonic_now())) schedule_slot_tick();
  });
}

}  // namespace stoathold
