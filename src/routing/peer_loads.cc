#include "routing/peer_loads.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <limits>

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
/// What a silent node said counts no longer after this time.
constexpr Duration kLifetime = std::chrono::milliseconds(1500);

}  // namespace

std::string encode_digest(const LoadDigest& digest) {
  return encode_value(digest);
}

bool decode_digest(const std::string& bytes, LoadDigest& digest) {
  return decode_value(bytes, digest);
}

PeerLoads::PeerLoads(asio::any_io_executor executor, RunnerRegistry& registry,
                     const std::string& listen, std::uint64_t sender)
    : executor_(std::move(executor)),
      registry_(registry),
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

void PeerLoads::set_peers(const std::vector<std::string>& addresses) {
  peers_.clear();
  for (const auto& address : addresses) {
    asio::ip::tcp::endpoint endpoint;
    if (!parse_endpoint(address, endpoint)) continue;
    peers_.emplace_back(endpoint.address(), endpoint.port());
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
  LoadDigest digest;
  if (!decode_digest(bytes, digest) || digest.sender == sender_) return;
  PeerState& state = states_[digest.sender];
  if (digest.sequence <= state.sequence) return;
  learn_peer(from_);
  state = {digest.sequence, monotonic_now(), std::move(digest.uses)};
  recount();
}

/// A member that holds no slot is not in the group's list; it is known by what it sends.
void PeerLoads::learn_peer(const Udp::endpoint& endpoint) {
  const bool known = std::find(peers_.begin(), peers_.end(), endpoint) != peers_.end();
  if (!known) peers_.push_back(endpoint);
}

void PeerLoads::recount() {
  std::map<std::uint64_t, RunnerUse> sums;
  const TimePoint now = monotonic_now();
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

LoadDigest PeerLoads::make_digest() {
  LoadDigest digest;
  digest.sender = sender_;
  digest.sequence = ++sequence_;
  const TimePoint now = monotonic_now();
  for (const auto& [id, runner] : registry_.all()) {
    if (runner->in_flight() == 0) continue;
    const auto silent =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - runner->last_heard()).count();
    constexpr std::int64_t kMost = std::numeric_limits<std::uint16_t>::max();
    digest.uses.push_back({runner->hash(), static_cast<std::uint16_t>(runner->in_flight()),
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
  return digest;
}

void PeerLoads::use_changed() {
  schedule_send();
}

void PeerLoads::schedule_send() {
  if (send_scheduled_ || peers_.empty()) return;
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
  const LoadDigest digest = make_digest();
  in_use_ = !digest.uses.empty();
  const std::string bytes = encode_digest(digest);
  for (const auto& peer : peers_) {
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(bytes), peer, 0, ignored);
  }
}

void PeerLoads::schedule_expiry() {
  expiry_timer_.expires_after(kRepeatInterval);
  expiry_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    expire();
    if (in_use_) schedule_send();
    schedule_expiry();
  });
}

void PeerLoads::expire() {
  const TimePoint now = monotonic_now();
  const auto old = std::erase_if(
      states_, [now](const auto& entry) { return now - entry.second.received > kLifetime; });
  if (old > 0) recount();
}

}  // namespace stoathold
