/// @file
/// Exchange of load information between nodes: each node's use of runners, and related state.
///
/// Runners know their whole load but report it only in responses, which any one node receives too
/// rarely. So each node sends its own use to the other nodes of its zone whenever it changes. Its
/// use of another zone's runners is reported less often, and only to one node there, which forwards
/// the report inside its zone; this limits the traffic between zones. Lost messages are tolerated:
/// the next one contains the whole state. A node whose online requests find no free slot asks the
/// node that runs the most batch items in its zone to release one.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/timer.h"
#include "quarantine/quarantine.h"
#include "routing/load_messages.h"
#include "routing/neighbour_table.h"
#include "routing/peer_traffic.h"
#include "routing/peer_use_table.h"
#include "routing/runner_registry.h"
#include "routing/slot_exchange.h"
#include "routing/stream_origin.h"
#include "tenancy/tenant_gossip.h"

namespace stoathold {

/// Address and zone of another node. A node prefers the runners of its own zone.
struct PeerAddress {
  std::string address;  ///< `ip:port`.
  std::string zone;
};

/// Part of the digests inside the zone that another module contributes and processes.
struct DigestPart {
  /// Adds data to a digest that is about to be sent.
  /// @param full_report whether the digest may be long; a full report is sent periodically to
  ///   compensate for lost messages.
  std::function<void(LoadDigest& digest, bool full_report, TimePoint now)> add;
  /// Processes a digest received from another node of the zone.
  std::function<void(const LoadDigest& digest, TimePoint now)> apply;
};

/// Sends and receives load messages over UDP and keeps the peers' use and demand in the registry up
/// to date. Not thread-safe.
class PeerLoads {
 public:
  /// Binds the socket; throws `boost::system::system_error` on failure.
  PeerLoads(boost::asio::any_io_executor executor, RunnerRegistry& registry,
            const std::string& listen, std::string zone, std::uint64_t sender);

  void start();
  /// Sets the other nodes, of all zones.
  void set_peers(const std::vector<PeerAddress>& peers);
  /// Returns the online requests that wait at this node.
  using DemandSource = std::function<std::vector<ServiceDemand>()>;
  void set_demand_source(DemandSource source) { demand_source_ = std::move(source); }
  /// Sets the function to call when another node's use or demand has changed.
  void set_change_listener(std::function<void()> listener) {
    change_listener_ = std::move(listener);
  }
  /// Called when another node requests that a batch item release its slot.
  using YieldHandler = std::function<void(const YieldRequest&)>;
  void set_yield_handler(YieldHandler handler) { yield_handler_ = std::move(handler); }
  /// Includes the usage that nodes admitted for tenants in the messages. The limits must outlive
  /// this object.
  void share_tenant_usage(TenantRateLimiter& limits) {
    tenant_gossip_.emplace(limits, sender_, stable_hash(zone_));
  }
  /// Reports runners that terminated while serving requests, and quarantined requests, to other
  /// nodes. The quarantine must outlive this object.
  void share_runner_ends(Quarantine& quarantine);
  /// Sets the function that returns the configuration version in force at this node, called for
  /// each digest.
  void set_version_source(std::function<std::uint64_t()> source) {
    version_source_ = std::move(source);
  }
  /// Called when a node of the zone reports the configuration version in force there.
  /// @param address `ip:port` of that node.
  using VersionListener = std::function<void(const std::string& address, std::uint64_t version)>;
  void set_version_listener(VersionListener listener) { version_listener_ = std::move(listener); }
  /// Shares estimates of routes' response times: `source` returns those of this node, `listener`
  /// receives those of other nodes.
  using StreamRateSource = std::function<std::vector<RouteStreamRate>()>;
  using StreamRateListener = std::function<void(const RouteStreamRate&)>;
  void share_stream_rates(StreamRateSource source, StreamRateListener listener) {
    stream_rate_source_ = std::move(source);
    stream_rate_listener_ = std::move(listener);
  }
  /// Adds a part to the digests inside the zone.
  void add_digest_part(DigestPart part) { digest_parts_.push_back(std::move(part)); }
  /// Transports the slot loan messages of an exchange, which must outlive this object.
  /// @param waiting returns the online requests that wait at this node, in placement order.
  void set_slot_exchange(SlotExchange& exchange,
                         std::function<std::vector<WaitingRequest>(TimePoint now)> waiting);
  /// Called for each message about the origins of streams, with the address of its sender.
  using OriginListener =
      std::function<void(const StreamOriginMessage& message, const std::string& sender)>;
  void set_origin_listener(OriginListener listener) { origin_listener_ = std::move(listener); }
  /// Sends a message about the origins of streams to the node at an address (`ip:port`).
  void send_origin_message(const std::string& address, const StreamOriginMessage& message);
  /// Sends the request to the node that runs the most batch items at the runners it selects.
  /// @return false if no node is known to run batch items there.
  bool send_yield_request(const YieldRequest& request);
  /// Announces that this node shuts down and admits no more requests; the other nodes take over its
  /// shares of the tenants' limits. Further calls have no effect.
  void leave();
  /// Schedules a digest after this node's use of a runner has changed.
  void notify_use_changed();
  /// Returns the bound address with the actual port.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::size_t peer_count() const { return zone_nodes_.size(); }
  /// Returns the addresses (`ip:port`) of the zone's nodes that have sent a message recently.
  [[nodiscard]] std::vector<std::string> live_neighbours() const;
  /// Returns the counters of the messages exchanged with other nodes.
  [[nodiscard]] const PeerTraffic& traffic() const { return traffic_; }

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;
  /// An encoded message.
  struct Datagram {
    std::string_view purpose;  ///< As returned by `purpose_of`.
    std::string bytes;
  };

  static Datagram make_datagram(const PeerLoadMessage& message);
  void receive();
  void handle_datagram(const std::string& bytes);
  void handle_digest(LoadDigest digest);
  void apply_tenant_reports(const LoadDigest& digest, TimePoint now);
  void apply_ejections(const LoadDigest& digest, TimePoint now);
  void handle_zone_loads(ZoneLoads loads);
  void handle_slot_message(const PeerLoadMessage& message);
  /// Forwards a message of another zone to the nodes of this zone.
  template <typename Message>
  void forward_in_zone(Message message) {
    message.forward = false;
    send_to_zone(make_datagram(message));
  }
  /// Sends a message to all nodes of this zone.
  void send_to_zone(const Datagram& datagram);
  /// Sends a message to one node of each other zone.
  /// @param rotation selects the node; consecutive values select different nodes.
  void send_to_other_zones(const Datagram& datagram, std::size_t rotation);
  void handle_end_reports(RunnerExitReports reports);
  void handle_quarantine_notices(QuarantineNotices notices);
  void handle_part_reports(PromptPartReports reports);
  void schedule_end_reports();
  /// Sends the reports of runner exits and the notices of quarantines that are pending.
  void send_quarantine_messages();
  void send_zone_quarantine_messages(TimePoint now);
  void send_remote_quarantine_messages(TimePoint now);
  /// Sends notices of known quarantines to a node.
  void send_quarantine_notices(const Endpoint& node);
  /// Sends them to one node of this zone and one node of another zone, which are other ones each
  /// time.
  void refresh_quarantine_notices();
  void schedule_send();
  void schedule_slot_tick();
  [[nodiscard]] std::vector<LendingNode> lending_nodes() const;
  [[nodiscard]] std::uint32_t reported_in_flight(const Runner& runner, bool own_zone,
                                                 TimePoint now) const;
  void send();
  void report_remote_use();
  void send_zone_loads();
  void send_to(const Endpoint& peer, const Datagram& datagram);
  void schedule_maintenance();
  void schedule_tenant_reports();
  void send_tenant_usage();
  /// Returns the minimum interval between two digests, which grows with the number of receivers.
  [[nodiscard]] Duration send_interval() const;
  /// Creates a digest of this node's use of runners.
  /// @param zone includes only runners of this zone; empty: all runners.
  [[nodiscard]] LoadDigest make_digest(const std::string& zone);
  [[nodiscard]] std::vector<ServiceDemand> own_demand() const;
  [[nodiscard]] std::vector<EjectedRunner> make_ejections(TimePoint now) const;
  [[nodiscard]] std::vector<RunnerAnswers> make_answer_counts(TimePoint now) const;

  boost::asio::any_io_executor executor_;
  RunnerRegistry& registry_;
  std::string zone_;
  std::uint64_t sender_;
  std::uint64_t sequence_ = 0;
  boost::asio::ip::udp::socket socket_;
  NeighbourTable zone_nodes_;                                  ///< Nodes of this zone.
  std::map<std::string, std::vector<Endpoint>> remote_zones_;  ///< Nodes of other zones, by zone.
  std::set<std::string> reported_zones_;  ///< Zones to which use was last reported.
  std::size_t remote_rotation_ = 0;       ///< Selects the node of each zone that receives reports.
  std::size_t refresh_rotation_ = 0;      ///< Selects the nodes that receive quarantine notices.
  DemandSource demand_source_;
  std::function<void()> change_listener_;
  YieldHandler yield_handler_;
  OriginListener origin_listener_;
  PeerUseTable peer_uses_;
  std::optional<TenantGossip> tenant_gossip_;
  Quarantine* quarantine_ = nullptr;  ///< Null: terminations are not reported.
  std::function<std::uint64_t()> version_source_;
  VersionListener version_listener_;
  StreamRateSource stream_rate_source_;
  StreamRateListener stream_rate_listener_;
  std::vector<DigestPart> digest_parts_;
  SlotExchange* slot_exchange_ = nullptr;  ///< Null: zones lend no slots.
  PeerTraffic traffic_;
  std::string buffer_;
  Endpoint sender_endpoint_;
  Timer send_timer_;
  Timer maintenance_timer_;
  Timer tenant_timer_;
  Timer end_reports_timer_;
  Timer slot_tick_timer_;
  bool slot_tick_scheduled_ = false;
  bool end_reports_scheduled_ = false;
  std::size_t tenant_rotation_ =
      0;  ///< Selects the node of each zone that receives tenant reports.
  TimePoint last_sent_{};
  TimePoint last_full_report_{};
  bool send_scheduled_ = false;
  bool uses_runners_ = false;
  bool last_was_heartbeat_ = false;  ///< Of the last digest sent in the zone.
  bool leaving_ = false;
};

}  // namespace stoathold
