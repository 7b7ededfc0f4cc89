#include "routing/peer_loads.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/saturated.h"
#include "net/http.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

/// Largest message; more runners than fit are left out, the least used first.
constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr std::size_t kMaxUses = 80;
/// Most ejected runners reported in one message: it stays below the size of a datagram.
constexpr std::size_t kMaxEjections = 30;
/// Most runners on whose answers one message reports.
constexpr std::size_t kMaxAnswerCounts = 20;
/// Counts of answers are reported in tenths.
constexpr double kAnswerUnit = 10;
/// Changes within this time go out together.
constexpr Duration kCoalesce = std::chrono::milliseconds(3);
constexpr Duration kSendInterval = std::chrono::milliseconds(12);
/// Each node that gets digests makes the interval longer, so that the messages that a node sends
/// and receives do not grow with the square of the zone's nodes. At 1 ms digests were older than a
/// short request takes in zones of 42 to 59 nodes; at 0.25 ms the processor time of such a day did
/// not rise (166 and 162 s).
constexpr Duration kSendIntervalPerPeer = std::chrono::microseconds(250);
/// A node that uses runners says so at least this often.
constexpr Duration kRepeatInterval = std::chrono::milliseconds(500);
/// A node that uses none says so at least this often: the others learn that it is there.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(1000);
/// Nodes of other zones get reports on the use of their runners this often.
constexpr Duration kRemoteReportInterval = std::chrono::milliseconds(250);

}  // namespace

PeerLoads::PeerLoads(asio::any_io_executor executor, RunnerRegistry& registry,
                     const std::string& listen, std::string zone, std::uint64_t sender)
    : executor_(std::move(executor)),
      registry_(registry),
      zone_(std::move(zone)),
      sender_(sender),
      socket_(executor_),
      peer_uses_(registry, zone_, sender_),
      buffer_(kMaxDatagramBytes * 2, '\0'),
      send_timer_(executor_),
      expiry_timer_(executor_),
      tenant_timer_(executor_),
      ends_timer_(executor_),
      slots_timer_(executor_) {
  std::string host;
  std::uint16_t port = 0;
  split_address(listen, host, port);
  const Udp::endpoint endpoint(asio::ip::make_address(host), port);
  socket_.open(endpoint.protocol());
  socket_.bind(endpoint);
  socket_.non_blocking(true);
}

std::string PeerLoads::address() const {
  return address_text(socket_.local_endpoint());
}

std::vector<std::string> PeerLoads::live_neighbours() const {
  std::vector<std::string> addresses;
  for (const auto& node : zone_nodes_.heard_lately(monotonic_now())) {
    addresses.push_back(address_text({asio::ip::address_v4(node.ip), node.port}));
  }
  return addresses;
}

void PeerLoads::start() {
  receive();
  schedule_expiry();
  if (tenant_gossip_) schedule_tenant_reports();
}

void PeerLoads::set_peers(const std::vector<PeerAddress>& peers) {
  remote_zones_.clear();
  std::vector<Endpoint> listed;
  for (const auto& peer : peers) {
    asio::ip::tcp::endpoint endpoint;
    if (!parse_endpoint(peer.address, endpoint)) continue;
    auto& group = peer.zone == zone_ ? listed : remote_zones_[peer.zone];
    group.emplace_back(endpoint.address(), endpoint.port());
  }
  zone_nodes_.set_listed(listed);
  if (slots_ == nullptr) return;
  std::vector<std::string> zones;
  for (const auto& [zone, nodes] : remote_zones_) zones.push_back(zone);
  slots_->set_zones(std::move(zones), monotonic_now());
}

void PeerLoads::receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_, [this](boost::system::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
          log_event(Event::kPeerDatagramFailed, {{"step", "receive"}, {"error", error.message()}});
        } else {
          take(buffer_.substr(0, size));
        }
        receive();
      });
}

void PeerLoads::take(const std::string& bytes) {
  PeerLoadMessage message;
  if (!decode_message(bytes, message)) return;
  if (auto* digest = std::get_if<LoadDigest>(&message)) {
    take_digest(std::move(*digest));
  } else if (auto* loads = std::get_if<ZoneLoads>(&message)) {
    take_zone_loads(std::move(*loads));
  } else if (auto* usage = std::get_if<ZoneTenantUsage>(&message)) {
    if (tenant_gossip_) tenant_gossip_->take_zone_report(*usage, monotonic_now());
    if (usage->pass_on) pass_on(std::move(*usage));
  } else if (auto* ends = std::get_if<EndReports>(&message)) {
    take_end_reports(std::move(*ends));
  } else if (const auto* yield = std::get_if<YieldRequest>(&message)) {
    if (yield_handler_) yield_handler_(*yield);
  } else if (slots_ != nullptr) {
    take_slot_message(message);
  }
}

void PeerLoads::take_digest(LoadDigest digest) {
  if (digest.sender == sender_) return;
  if (!peer_uses_.is_news(digest)) return;
  Endpoint endpoint = from_;
  asio::ip::tcp::endpoint origin;
  if (parse_endpoint(digest.origin, origin)) endpoint = {origin.address(), origin.port()};
  const TimePoint now = monotonic_now();
  if (digest.zone == stable_hash(zone_)) {
    zone_nodes_.heard(endpoint, now);
    zone_nodes_.learn(digest.neighbours, socket_.local_endpoint(), now);
    take_ejections(digest, now);
    if (pace_listener_) std::for_each(digest.paces.begin(), digest.paces.end(), pace_listener_);
    take_tenants(digest, now);
    for (const DigestPart& part : digest_parts_) part.take(digest, now);
    if (version_listener_) {
      version_listener_(address_text(endpoint), digest.configuration_version);
    }
  }
  if (digest.pass_on) pass_on(digest);
  const bool place_may_be_free = peer_uses_.take(std::move(digest), endpoint, own_demand(), now);
  if (place_may_be_free && listener_) listener_();
}

/// Failed attempts of a node that sees the runners as this one does: from inside the same zone.
void PeerLoads::take_ejections(const LoadDigest& digest, TimePoint now) {
  for (const auto& reported : digest.ejected) {
    Runner* runner = registry_.find_hash(reported.runner);
    if (runner == nullptr) continue;
    const PeerEjection ejection{
        .reporter = digest.sender,
        .failed_at = now - std::chrono::milliseconds(reported.failed_ms_ago),
        .until = now + std::chrono::milliseconds(reported.pause_left_ms),
        .failures = reported.failures,
        .by_errors = reported.by_errors};
    runner->take_peer_ejection(ejection, now);
  }
  for (const auto& reported : digest.answers) {
    Runner* runner = registry_.find_hash(reported.runner);
    if (runner == nullptr) continue;
    const AnswerCounts counts{reported.errors / kAnswerUnit, reported.served / kAnswerUnit};
    runner->take_answer_counts(digest.sender, counts, now);
  }
}

bool PeerLoads::ask_for_place(const YieldRequest& request) {
  const auto asked = peer_uses_.take_batch_place(request);
  if (!asked) return false;
  send_to(*asked, encode_message(request));
  return true;
}

std::vector<ServiceDemand> PeerLoads::own_demand() const {
  std::vector<ServiceDemand> demand =
      demand_source_ ? demand_source_() : std::vector<ServiceDemand>{};
  if (slots_ == nullptr) return demand;
  const auto lent = slots_->demand(monotonic_now());
  demand.insert(demand.end(), lent.begin(), lent.end());
  return demand;
}

LoadDigest PeerLoads::make_digest(const std::string& zone) {
  LoadDigest digest;
  digest.sender = sender_;
  digest.zone = stable_hash(zone_);
  digest.sequence = ++sequence_;
  const TimePoint now = monotonic_now();
  for (const auto& [id, runner] : registry_.all()) {
    if (!zone.empty() && runner->record().zone != zone) continue;
    const std::uint32_t in_flight = use_to_report(*runner, zone.empty(), now);
    if (in_flight == 0) continue;
    digest.uses.push_back({runner->hash(), static_cast<std::uint16_t>(in_flight),
                           static_cast<std::uint16_t>(runner->batch_in_flight()),
                           runner->backlog_tokens(),
                           saturated_milliseconds(now - runner->last_heard())});
  }
  if (digest.uses.size() > kMaxUses) {
    std::sort(digest.uses.begin(), digest.uses.end(),
              [](const RunnerUse& left, const RunnerUse& right) {
                return left.in_flight > right.in_flight;
              });
    digest.uses.resize(kMaxUses);
  }
  digest.demand = own_demand();
  return digest;
}

std::vector<EjectedRunner> PeerLoads::make_ejections(TimePoint now) const {
  std::vector<EjectedRunner> ejected;
  for (const auto& [id, runner] : registry_.all()) {
    const auto own = runner->own_ejection(now);
    if (!own) continue;
    ejected.push_back({runner->hash(), saturated_milliseconds(now - own->failed_at),
                       saturated_milliseconds(own->until - now),
                       saturated<std::uint8_t>(own->failures), own->by_errors});
    if (ejected.size() >= kMaxEjections) break;
  }
  return ejected;
}

std::vector<RunnerAnswers> PeerLoads::make_answer_counts(TimePoint now) const {
  std::vector<RunnerAnswers> answers;
  for (const auto& [id, runner] : registry_.all()) {
    const auto counts = runner->answer_counts(now);
    if (!counts) continue;
    answers.push_back(
        {runner->hash(),
         saturated<std::uint8_t>(static_cast<std::int64_t>(counts->errors * kAnswerUnit)),
         saturated<std::uint8_t>(static_cast<std::int64_t>(counts->served * kAnswerUnit))});
    if (answers.size() >= kMaxAnswerCounts) break;
  }
  return answers;
}

void PeerLoads::use_changed() {
  schedule_send();
  if (slots_ != nullptr && registry_.lending()) schedule_slots();
}

Duration PeerLoads::send_interval() const {
  return std::max<Duration>(kSendInterval, zone_nodes_.size() * kSendIntervalPerPeer);
}

void PeerLoads::schedule_send() {
  if (send_scheduled_ || zone_nodes_.empty()) return;
  send_scheduled_ = true;
  const TimePoint now = monotonic_now();
  const TimePoint earliest = std::max(now + kCoalesce, last_sent_ + send_interval());
  send_timer_.expires_after(earliest - now);
  send_timer_.async_wait([this](boost::system::error_code error) {
    send_scheduled_ = false;
    if (!error) send();
  });
}

void PeerLoads::send() {
  last_sent_ = monotonic_now();
  LoadDigest digest = make_digest({});
  digest.ejected = make_ejections(last_sent_);
  digest.answers = make_answer_counts(last_sent_);
  const bool thorough = last_sent_ - neighbours_reported_ >= kHeartbeatInterval;
  if (tenant_gossip_) digest.tenants = tenant_gossip_->make_report(thorough, last_sent_);
  if (version_source_) digest.configuration_version = version_source_();
  if (thorough) {
    digest.neighbours = zone_nodes_.heard_lately(last_sent_);
    if (pace_source_) digest.paces = pace_source_();
    neighbours_reported_ = last_sent_;
  }
  for (const DigestPart& part : digest_parts_) part.add(digest, thorough, last_sent_);
  in_use_ = !digest.uses.empty();
  digest.leaving = leaving_;
  const std::string bytes = encode_message(digest);
  send_to_zone(bytes);
}

void PeerLoads::send_to(const Endpoint& peer, const std::string& bytes) {
  boost::system::error_code error;
  socket_.send_to(asio::buffer(bytes), peer, 0, error);
  if (!error) return;
  log_event(Event::kPeerDatagramFailed,
            {{"step", "send"}, {"peer", address_text(peer)}, {"error", error.message()}});
}

void PeerLoads::schedule_tenant_reports() {
  tenant_timer_.expires_after(kTenantReportInterval);
  tenant_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const TimePoint now = monotonic_now();
    tenant_gossip_->check_silence(now);
    if (tenant_gossip_->needed()) {
      send_tenant_usage();
      if (now - last_sent_ >= kTenantReportInterval) schedule_send();
    }
    schedule_tenant_reports();
  });
}

void PeerLoads::schedule_expiry() {
  expiry_timer_.expires_after(kRemoteReportInterval);
  expiry_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const TimePoint now = monotonic_now();
    zone_nodes_.expire(now);
    if (peer_uses_.expire(now) && listener_) listener_();
    report_remote_use();
    send_zone_loads();
    if (slots_ != nullptr) slots_->refresh(now);
    send_end_reports();
    send_remote_end_reports();
    const Duration repeat = in_use_ ? kRepeatInterval : kHeartbeatInterval;
    if (now - last_sent_ >= repeat) schedule_send();
    schedule_expiry();
  });
}

}  // namespace stoathold
