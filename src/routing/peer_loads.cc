#include "routing/peer_loads.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <limits>

#include "base/ids.h"
#include "core/codec.h"
#include "net/http.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

/// Largest message; more runners than fit are left out, the least used first.
constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr std::size_t kMaxUses = 80;
/// Changes within this time go out together.
constexpr Duration kCoalesce = std::chrono::milliseconds(3);
constexpr Duration kSendInterval = std::chrono::milliseconds(12);
/// A node that uses runners says so at least this often.
constexpr Duration kRepeatInterval = std::chrono::milliseconds(500);
/// Nodes of other zones are told of the use of their runners this often.
constexpr Duration kFarInterval = std::chrono::milliseconds(250);
/// Online work that waits says so at least every 20 ms.
constexpr Duration kDemandLifetime = std::chrono::milliseconds(100);
/// What a silent node said counts no longer after this time.
constexpr Duration kLifetime = std::chrono::milliseconds(1500);

}  // namespace

std::string encode_message(const PeerLoadMessage& message) {
  return encode_value(message);
}

bool decode_message(const std::string& bytes, PeerLoadMessage& message) {
  return decode_value(bytes, message);
}

PeerLoads::PeerLoads(asio::any_io_executor executor, RunnerRegistry& registry,
                     const std::string& listen, std::string zone, std::uint64_t sender)
    : executor_(std::move(executor)),
      registry_(registry),
      zone_(std::move(zone)),
      sender_(sender),
      socket_(executor_),
      buffer_(kMaxDatagramBytes * 2, '\0'),
      send_timer_(executor_),
      expiry_timer_(executor_) {
  std::string host;
  std::uint16_t port = 0;
  split_address(listen, host, port);
  const Udp::endpoint endpoint(asio::ip::make_address(host), port);
  socket_.open(endpoint.protocol());
  socket_.bind(endpoint);
  socket_.non_blocking(true);
}

std::string PeerLoads::address() const {
  const auto endpoint = socket_.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void PeerLoads::start() {
  receive();
  schedule_expiry();
}

void PeerLoads::set_peers(const std::vector<PeerAddress>& peers) {
  near_.clear();
  far_.clear();
  for (const auto& peer : peers) {
    asio::ip::tcp::endpoint endpoint;
    if (!parse_endpoint(peer.address, endpoint)) continue;
    auto& group = peer.zone == zone_ ? near_ : far_[peer.zone];
    group.emplace_back(endpoint.address(), endpoint.port());
  }
}

void PeerLoads::receive() {
  socket_.async_receive_from(asio::buffer(buffer_), from_,
                             [this](boost::system::error_code error, std::size_t size) {
                               if (error == asio::error::operation_aborted) return;
                               if (!error) take(buffer_.substr(0, size));
                               receive();
                             });
}

void PeerLoads::take(const std::string& bytes) {
  PeerLoadMessage message;
  if (!decode_message(bytes, message)) return;
  if (auto* digest = std::get_if<LoadDigest>(&message)) {
    take_digest(std::move(*digest));
  } else if (yield_handler_) {
    yield_handler_(std::get<YieldRequest>(message));
  }
}

void PeerLoads::take_digest(LoadDigest digest) {
  if (digest.sender == sender_) return;
  PeerState& state = states_[digest.sender];
  if (digest.sequence <= state.sequence) return;
  Endpoint endpoint = from_;
  asio::ip::tcp::endpoint origin;
  if (parse_endpoint(digest.origin, origin)) endpoint = {origin.address(), origin.port()};
  if (digest.zone == stable_hash(zone_)) learn_peer(endpoint);
  if (digest.pass_on) pass_on(digest);
  state = {digest.sequence,         digest.zone, monotonic_now(), endpoint, std::move(digest.uses),
           std::move(digest.demand)};
  recount();
  if (listener_) listener_();
}

void PeerLoads::pass_on(LoadDigest digest) {
  digest.pass_on = false;
  const std::string bytes = encode_message(digest);
  for (const auto& peer : near_) send_to(peer, bytes);
}

/// A member that holds no slot is not in the group's list; it is known by what it sends.
void PeerLoads::learn_peer(const Endpoint& endpoint) {
  const bool known = std::find(near_.begin(), near_.end(), endpoint) != near_.end();
  if (!known) near_.push_back(endpoint);
}

/// Whether a use holds batch items at a runner of the service in this zone.
bool PeerLoads::is_batch_here(const RunnerUse& use, const std::string& service) const {
  if (use.batch_in_flight == 0) return false;
  const auto runner = registry_.find_hash(use.runner);
  return runner && runner->record().zone == zone_ && runner->record().service == service;
}

std::uint32_t PeerLoads::batch_near(const PeerState& state, const std::string& service) const {
  std::uint32_t count = 0;
  for (const auto& use : state.uses) {
    if (is_batch_here(use, service)) count += use.batch_in_flight;
  }
  return count;
}

bool PeerLoads::ask_for_place(const std::string& service) {
  PeerState* most = nullptr;
  std::uint32_t most_items = 0;
  for (auto& [sender, state] : states_) {
    const std::uint32_t items = batch_near(state, service);
    if (items <= most_items) continue;
    most = &state;
    most_items = items;
  }
  if (most == nullptr) return false;
  // Until the next digest, one less is left there to ask for.
  const auto use = std::find_if(most->uses.begin(), most->uses.end(), [&](const RunnerUse& entry) {
    return is_batch_here(entry, service);
  });
  if (use != most->uses.end()) --use->batch_in_flight;
  send_to(most->endpoint, encode_message(YieldRequest{service, zone_}));
  return true;
}

/// Demand that was told long ago counts no more: who waits repeats it.
void PeerLoads::recount_demand(TimePoint now) {
  const std::uint64_t zone = stable_hash(zone_);
  std::set<std::uint64_t> services;
  for (const auto& [sender, state] : states_) {
    if (state.zone != zone || now - state.received > kDemandLifetime) continue;
    services.insert(state.demand.begin(), state.demand.end());
  }
  registry_.set_peer_demand(std::move(services));
}

void PeerLoads::recount() {
  const TimePoint now = monotonic_now();
  recount_demand(now);
  std::map<std::uint64_t, RunnerUse> sums;
  for (const auto& [sender, state] : states_) {
    for (const auto& use : state.uses) {
      RunnerUse& sum = sums[use.runner];
      sum.in_flight = static_cast<std::uint16_t>(sum.in_flight + use.in_flight);
      sum.backlog_tokens += use.backlog_tokens;
    }
  }
  for (const auto& [id, runner] : registry_.all()) {
    const auto found = sums.find(runner->hash());
    const RunnerUse sum = found == sums.end() ? RunnerUse{} : found->second;
    runner->set_peer_use(sum.in_flight, sum.backlog_tokens);
  }
  for (const auto& [sender, state] : states_) {
    for (const auto& use : state.uses) {
      if (use.heard_ms_ago == std::numeric_limits<std::uint16_t>::max()) continue;
      const auto runner = registry_.find_hash(use.runner);
      const TimePoint heard = state.received - std::chrono::milliseconds(use.heard_ms_ago);
      if (runner && heard > runner->last_heard() && heard <= now) runner->heard(heard);
    }
  }
}

LoadDigest PeerLoads::make_digest(const std::string& zone) {
  LoadDigest digest;
  digest.sender = sender_;
  digest.zone = stable_hash(zone_);
  digest.sequence = ++sequence_;
  const TimePoint now = monotonic_now();
  for (const auto& [id, runner] : registry_.all()) {
    if (runner->in_flight() == 0) continue;
    if (!zone.empty() && runner->record().zone != zone) continue;
    const auto silent =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - runner->last_heard()).count();
    constexpr std::int64_t kMost = std::numeric_limits<std::uint16_t>::max();
    digest.uses.push_back({runner->hash(), static_cast<std::uint16_t>(runner->in_flight()),
                           static_cast<std::uint16_t>(runner->batch_in_flight()),
                           runner->backlog_tokens(),
                           static_cast<std::uint16_t>(std::min<std::int64_t>(silent, kMost))});
  }
  if (digest.uses.size() > kMaxUses) {
    std::sort(digest.uses.begin(), digest.uses.end(),
              [](const RunnerUse& left, const RunnerUse& right) {
                return left.in_flight > right.in_flight;
              });
    digest.uses.resize(kMaxUses);
  }
  const auto demand = demand_source_ ? demand_source_() : std::set<std::string>{};
  for (const auto& service : demand) digest.demand.push_back(stable_hash(service));
  return digest;
}

void PeerLoads::use_changed() {
  schedule_send();
}

void PeerLoads::schedule_send() {
  if (send_scheduled_ || near_.empty()) return;
  send_scheduled_ = true;
  const TimePoint now = monotonic_now();
  const TimePoint earliest = std::max(now + kCoalesce, last_sent_ + kSendInterval);
  send_timer_.expires_after(earliest - now);
  send_timer_.async_wait([this](boost::system::error_code error) {
    send_scheduled_ = false;
    if (!error) send();
  });
}

void PeerLoads::send() {
  last_sent_ = monotonic_now();
  const LoadDigest digest = make_digest({});
  in_use_ = !digest.uses.empty();
  const std::string bytes = encode_message(digest);
  for (const auto& peer : near_) send_to(peer, bytes);
}

void PeerLoads::send_to(const Endpoint& peer, const std::string& bytes) {
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(bytes), peer, 0, ignored);
}

/// Tells a node of each zone whose runners this node uses, and once of the end of that. Each time
/// another node, so that one that is gone costs one message.
void PeerLoads::send_far() {
  std::set<std::string> used;
  for (const auto& [id, runner] : registry_.all()) {
    if (runner->in_flight() > 0) used.insert(runner->record().zone);
  }
  for (const auto& [zone, peers] : far_) {
    const bool uses = used.contains(zone);
    if (!uses && !told_far_.contains(zone)) continue;
    LoadDigest digest = make_digest(zone);
    digest.origin = address();
    digest.pass_on = true;
    send_to(peers[far_turn_ % peers.size()], encode_message(digest));
  }
  ++far_turn_;
  told_far_ = std::move(used);
}

void PeerLoads::schedule_expiry() {
  expiry_timer_.expires_after(kFarInterval);
  expiry_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    expire();
    send_far();
    if (in_use_ && monotonic_now() - last_sent_ >= kRepeatInterval) schedule_send();
    schedule_expiry();
  });
}

void PeerLoads::expire() {
  const TimePoint now = monotonic_now();
  const auto old = std::erase_if(
      states_, [now](const auto& entry) { return now - entry.second.received > kLifetime; });
  if (old > 0) {
    recount();
  } else {
    recount_demand(now);
  }
}

}  // namespace stoathold
