#include "routing/peer_loads.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/saturating_cast.h"
#include "net/http.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

/// Maximum message size. If the runners in use do not fit, the least used ones are omitted.
constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr std::size_t kMaxUses = 72;
/// Maximum number of ejected runners in one message, so that it fits into a datagram.
constexpr std::size_t kMaxEjections = 30;
/// Maximum number of runners with response counts in one message.
constexpr std::size_t kMaxAnswerCounts = 20;
/// Response counts are reported in tenths.
constexpr double kResponseCountScale = 10;
/// Changes within this time are sent together.
constexpr Duration kCoalescingDelay = std::chrono::milliseconds(3);
constexpr Duration kSendInterval = std::chrono::milliseconds(12);
/// Increase of the send interval for each receiving node, so that the number of messages does not
/// grow with the square of the zone's nodes. With 1 ms, digests in zones of 42 to 59 nodes were
/// older than the duration of a short request; with 0.25 ms the CPU time of such a run did not rise
/// (166 and 162 s).
constexpr Duration kSendIntervalPerPeer = std::chrono::microseconds(250);
/// Maximum interval between digests of a node that uses runners.
constexpr Duration kRepeatInterval = std::chrono::milliseconds(500);
/// Maximum interval between digests of a node that uses no runner, so that the others know that it
/// is alive.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(1000);
/// Interval of reports to other zones on the use of their runners.
constexpr Duration kRemoteReportInterval = std::chrono::milliseconds(250);

/// Returns the message if it is about the origins of streams.
std::optional<StreamOriginMessage> origin_message(const PeerLoadMessage& message) {
  if (const auto* report = std::get_if<StreamOriginReport>(&message)) return *report;
  if (const auto* query = std::get_if<StreamOriginQuery>(&message)) return *query;
  if (const auto* answer = std::get_if<StreamOriginAnswer>(&message)) return *answer;
  return std::nullopt;
}

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
      maintenance_timer_(executor_),
      tenant_timer_(executor_),
      end_reports_timer_(executor_),
      slot_tick_timer_(executor_) {
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
  for (const auto& node : zone_nodes_.live_nodes(monotonic_now())) {
    addresses.push_back(address_text({asio::ip::address_v4(node.ip), node.port}));
  }
  return addresses;
}

void PeerLoads::start() {
  receive();
  schedule_maintenance();
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
  if (slot_exchange_ == nullptr) return;
  std::vector<std::string> zones;
  for (const auto& [zone, nodes] : remote_zones_) zones.push_back(zone);
  slot_exchange_->set_zones(std::move(zones), monotonic_now());
}

void PeerLoads::receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_endpoint_,
      [this](boost::system::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
          log_event(Event::kPeerDatagramFailed, {{"step", "receive"}, {"error", error.message()}});
        } else {
          handle_datagram(buffer_.substr(0, size));
        }
        receive();
      });
}

void PeerLoads::handle_datagram(const std::string& bytes) {
  PeerLoadMessage message;
  if (!decode_message(bytes, message)) return;
  traffic_.add_received(purpose_of(message), bytes.size());
  if (auto* digest = std::get_if<LoadDigest>(&message)) {
    handle_digest(std::move(*digest));
  } else if (auto* loads = std::get_if<ZoneLoads>(&message)) {
    handle_zone_loads(std::move(*loads));
  } else if (auto* usage = std::get_if<ZoneTenantUsage>(&message)) {
    if (tenant_gossip_) tenant_gossip_->apply_zone_report(*usage, monotonic_now());
    if (usage->forward) forward_in_zone(std::move(*usage));
  } else if (auto* ends = std::get_if<RunnerExitReports>(&message)) {
    handle_end_reports(std::move(*ends));
  } else if (auto* notices = std::get_if<QuarantineNotices>(&message)) {
    handle_quarantine_notices(std::move(*notices));
  } else if (auto* parts = std::get_if<PromptPartReports>(&message)) {
    handle_part_reports(std::move(*parts));
  } else if (const auto* yield = std::get_if<YieldRequest>(&message)) {
    if (yield_handler_) yield_handler_(*yield);
  } else if (const auto origins = origin_message(message)) {
    if (origin_listener_) origin_listener_(*origins, address_text(sender_endpoint_));
  } else if (slot_exchange_ != nullptr) {
    handle_slot_message(message);
  }
}

void PeerLoads::send_origin_message(const std::string& address,
                                    const StreamOriginMessage& message) {
  asio::ip::tcp::endpoint endpoint;
  if (!parse_endpoint(address, endpoint)) return;
  const auto to_peer_message = [](const auto& content) { return PeerLoadMessage(content); };
  send_to({endpoint.address(), endpoint.port()},
          make_datagram(std::visit(to_peer_message, message)));
}

void PeerLoads::handle_digest(LoadDigest digest) {
  if (digest.sender == sender_) return;
  if (!peer_uses_.is_newer(digest)) return;
  Endpoint endpoint = sender_endpoint_;
  asio::ip::tcp::endpoint origin;
  if (parse_endpoint(digest.origin, origin)) endpoint = {origin.address(), origin.port()};
  const TimePoint now = monotonic_now();
  if (digest.zone == stable_hash(zone_)) {
    // A node that has just started does not know the quarantined requests.
    if (!peer_uses_.knows(digest.sender)) send_quarantine_notices(endpoint);
    zone_nodes_.record_message(endpoint, now);
    zone_nodes_.add_reported(digest.neighbours, socket_.local_endpoint(), now);
    apply_ejections(digest, now);
    if (stream_rate_listener_)
      std::for_each(digest.stream_rates.begin(), digest.stream_rates.end(), stream_rate_listener_);
    apply_tenant_reports(digest, now);
    for (const DigestPart& part : digest_parts_) part.apply(digest, now);
    if (version_listener_) {
      version_listener_(address_text(endpoint), digest.configuration_version);
    }
  }
  if (digest.forward) forward_in_zone(digest);
  const bool slot_may_be_free = peer_uses_.apply(std::move(digest), endpoint, own_demand(), now);
  if (slot_may_be_free && change_listener_) change_listener_();
}

/// Applies a node's ejections and response counts. Only digests of the same zone are used, since
/// their senders access the runners from inside the zone, as this node does.
void PeerLoads::apply_ejections(const LoadDigest& digest, TimePoint now) {
  for (const auto& reported : digest.ejected) {
    Runner* runner = registry_.find_by_hash(reported.runner);
    if (runner == nullptr) continue;
    const PeerEjection ejection{
        .reporter = digest.sender,
        .failed_at = now - std::chrono::milliseconds(reported.failed_ms_ago),
        .until = now + std::chrono::milliseconds(reported.remaining_ms),
        .failures = reported.failures,
        .by_errors = reported.by_errors};
    runner->apply_peer_ejection(ejection, now);
  }
  for (const auto& reported : digest.answers) {
    Runner* runner = registry_.find_by_hash(reported.runner);
    if (runner == nullptr) continue;
    const ResponseCounts counts{reported.errors / kResponseCountScale,
                                reported.served / kResponseCountScale};
    runner->apply_peer_response_counts(digest.sender, counts, now);
  }
}

bool PeerLoads::send_yield_request(const YieldRequest& request) {
  const auto target = peer_uses_.reserve_batch_slot(request);
  if (!target) return false;
  send_to(*target, make_datagram(request));
  return true;
}

std::vector<ServiceDemand> PeerLoads::own_demand() const {
  std::vector<ServiceDemand> demand =
      demand_source_ ? demand_source_() : std::vector<ServiceDemand>{};
  if (slot_exchange_ == nullptr) return demand;
  const auto lent = slot_exchange_->demand(monotonic_now());
  demand.insert(demand.end(), lent.begin(), lent.end());
  return demand;
}

LoadDigest PeerLoads::make_digest(const std::string& zone) {
  LoadDigest digest;
  digest.sender = sender_;
  digest.zone = stable_hash(zone_);
  digest.sequence = ++sequence_;
  const TimePoint now = monotonic_now();
  for (const Runner* runner : registry_.active()) {
    if (!zone.empty() && runner->record().zone != zone) continue;
    const std::uint32_t in_flight = reported_in_flight(*runner, zone.empty(), now);
    if (in_flight == 0) continue;
    const LivePeriod& period = runner->own_live_period();
    digest.uses.push_back({runner->hash(), static_cast<std::uint16_t>(in_flight),
                           static_cast<std::uint16_t>(runner->batch_in_flight()),
                           runner->backlog_tokens(), saturating_milliseconds(now - period.until()),
                           saturating_milliseconds(period.until() - period.since())});
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
  for (const Runner* runner : registry_.active()) {
    const auto own = runner->own_ejection(now);
    if (!own) continue;
    ejected.push_back({runner->hash(), saturating_milliseconds(now - own->failed_at),
                       saturating_milliseconds(own->until - now),
                       saturating_cast<std::uint8_t>(own->failures), own->by_errors});
    if (ejected.size() >= kMaxEjections) break;
  }
  return ejected;
}

std::vector<RunnerAnswers> PeerLoads::make_answer_counts(TimePoint now) const {
  std::vector<RunnerAnswers> answers;
  for (const Runner* runner : registry_.active()) {
    const auto counts = runner->own_response_counts(now);
    if (!counts) continue;
    answers.push_back({runner->hash(),
                       saturating_cast<std::uint8_t>(
                           static_cast<std::int64_t>(counts->errors * kResponseCountScale)),
                       saturating_cast<std::uint8_t>(
                           static_cast<std::int64_t>(counts->served * kResponseCountScale))});
    if (answers.size() >= kMaxAnswerCounts) break;
  }
  return answers;
}

void PeerLoads::notify_use_changed() {
  schedule_send();
  if (slot_exchange_ != nullptr && registry_.lending()) schedule_slot_tick();
}

Duration PeerLoads::send_interval() const {
  return std::max<Duration>(kSendInterval, zone_nodes_.size() * kSendIntervalPerPeer);
}

void PeerLoads::schedule_send() {
  if (send_scheduled_ || zone_nodes_.empty()) return;
  send_scheduled_ = true;
  const TimePoint now = monotonic_now();
  const TimePoint earliest = std::max(now + kCoalescingDelay, last_sent_ + send_interval());
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
  const bool full_report = last_sent_ - last_full_report_ >= kHeartbeatInterval;
  if (tenant_gossip_) digest.tenants = tenant_gossip_->make_report(full_report, last_sent_);
  if (version_source_) digest.configuration_version = version_source_();
  if (full_report) {
    digest.neighbours = zone_nodes_.next_reported_nodes(last_sent_);
    if (stream_rate_source_) digest.stream_rates = stream_rate_source_();
    last_full_report_ = last_sent_;
  }
  for (const DigestPart& part : digest_parts_) part.add(digest, full_report, last_sent_);
  digest.leaving = leaving_;
  const bool is_heartbeat = digest.is_heartbeat();
  // The first heartbeat after a digest with load goes to all nodes, since it ends the reported
  // load. While tenants' limits are shared, every digest does: a node from which no messages arrive
  // counts as silent.
  const bool shares_limits = tenant_gossip_ && tenant_gossip_->needed();
  const bool to_all = !is_heartbeat || !last_was_heartbeat_ || shares_limits;
  last_was_heartbeat_ = is_heartbeat;
  uses_runners_ = !digest.uses.empty();
  const Datagram datagram = make_datagram(digest);
  if (to_all) {
    send_to_zone(datagram);
  } else {
    for (const Endpoint& peer : zone_nodes_.next_heartbeat_receivers()) send_to(peer, datagram);
  }
}

PeerLoads::Datagram PeerLoads::make_datagram(const PeerLoadMessage& message) {
  return {purpose_of(message), encode_message(message)};
}

void PeerLoads::send_to(const Endpoint& peer, const Datagram& datagram) {
  boost::system::error_code error;
  socket_.send_to(asio::buffer(datagram.bytes), peer, 0, error);
  traffic_.add_sent(datagram.purpose, datagram.bytes.size());
  if (!error) return;
  log_event(Event::kPeerDatagramFailed,
            {{"step", "send"}, {"peer", address_text(peer)}, {"error", error.message()}});
}

void PeerLoads::schedule_tenant_reports() {
  tenant_timer_.expires_after(kTenantReportInterval);
  tenant_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const TimePoint now = monotonic_now();
    tenant_gossip_->update_silent_nodes(now);
    if (tenant_gossip_->needed()) {
      send_tenant_usage();
      if (now - last_sent_ >= kTenantReportInterval) schedule_send();
    }
    schedule_tenant_reports();
  });
}

void PeerLoads::schedule_maintenance() {
  maintenance_timer_.expires_after(kRemoteReportInterval);
  maintenance_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const TimePoint now = monotonic_now();
    zone_nodes_.expire(now);
    registry_.drop_idle_runners(now);
    traffic_.log_periodically(now);
    if (peer_uses_.expire(now) && change_listener_) change_listener_();
    report_remote_use();
    send_zone_loads();
    if (slot_exchange_ != nullptr) slot_exchange_->refresh(now);
    send_quarantine_messages();
    refresh_quarantine_notices();
    const Duration repeat = uses_runners_ ? kRepeatInterval : kHeartbeatInterval;
    if (now - last_sent_ >= repeat) schedule_send();
    schedule_maintenance();
  });
}

}  // namespace stoathold
