/// @file
/// What nodes report to one another about their use of runners.
///
/// Runners know all of their load but report it only in answers, which come seldom at any one node.
/// So each node sends its own use to the others of its zone whenever it changes. Of the use of
/// another zone's runners it seldom reports to one node there, which passes that on inside its
/// zone, so that few bytes cross between zones. A lost message costs nothing: the next one holds
/// everything again. A node whose online work finds no place asks the node that runs the most batch
/// items in its zone to give one back.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/timer.h"
#include "quarantine/quarantine.h"
#include "routing/load_messages.h"
#include "routing/neighbour_table.h"
#include "routing/peer_use_table.h"
#include "routing/runner_registry.h"
#include "routing/slot_exchange.h"
#include "tenancy/tenant_gossip.h"

namespace stoathold {

/// Where another node is reached, and which runners it uses first.
struct PeerAddress {
  std::string address;  ///< `ip:port`.
  std::string zone;
};

/// What another module adds to digests inside the zone, and takes from them.
struct DigestPart {
  /// Adds to a digest that is about to be sent.
  /// @param thorough whether it may be long: now and then one repairs what was lost.
  std::function<void(LoadDigest& digest, bool thorough, TimePoint now)> add;
  /// Takes from a digest of another node of the zone.
  std::function<void(const LoadDigest& digest, TimePoint now)> take;
};

/// Sends and receives messages over UDP, and keeps the registry's peer use and demand up to date.
/// One thread.
class PeerLoads {
 public:
  /// Binds at once; throws `boost::system::system_error` if that fails.
  PeerLoads(boost::asio::any_io_executor executor, RunnerRegistry& registry,
            const std::string& listen, std::string zone, std::uint64_t sender);

  void start();
  /// The other nodes, of all zones.
  void set_peers(const std::vector<PeerAddress>& peers);
  /// Called for the online work that waits here.
  using DemandSource = std::function<std::vector<ServiceDemand>()>;
  void set_demand_source(DemandSource source) { demand_source_ = std::move(source); }
  /// Called when another node's use or demand has changed.
  void set_change_listener(std::function<void()> listener) { listener_ = std::move(listener); }
  /// Called when another node asks for a place.
  using YieldHandler = std::function<void(const YieldRequest&)>;
  void set_yield_handler(YieldHandler handler) { yield_handler_ = std::move(handler); }
  /// Has the messages carry what nodes admitted for tenants. The limits outlive this object.
  void share_tenant_usage(TenantLimits& limits) {
    tenant_gossip_.emplace(limits, sender_, stable_hash(zone_));
  }
  /// Tells other nodes of runners that ended under requests. The quarantine outlives this object.
  void share_runner_ends(Quarantine& quarantine);
  /// Called for the version of the configuration that is in force here, when a digest is made.
  void set_version_source(std::function<std::uint64_t()> source) {
    version_source_ = std::move(source);
  }
  /// Called when a node of the zone says which version is in force there.
  /// @param address `ip:port` of that node.
  using VersionListener = std::function<void(const std::string& address, std::uint64_t version)>;
  void set_version_listener(VersionListener listener) { version_listener_ = std::move(listener); }
  /// Called for what this node has learned about routes' answers, and with what others have.
  using PaceSource = std::function<std::vector<RoutePace>()>;
  using PaceListener = std::function<void(const RoutePace&)>;
  void share_paces(PaceSource source, PaceListener listener) {
    pace_source_ = std::move(source);
    pace_listener_ = std::move(listener);
  }
  /// Has the digests inside the zone carry what another module reports.
  void add_digest_part(DigestPart part) { digest_parts_.push_back(std::move(part)); }
  /// Carries the messages by which zones lend slots. The exchange outlives this object.
  /// @param waiting online work that waits here, in the order in which it is placed.
  void share_slots(SlotExchange& exchange,
                   std::function<std::vector<WaitingWork>(TimePoint now)> waiting);
  /// Asks the node that runs the most batch items at the runners that the request names for a
  /// place.
  /// @return false if none is known to run any.
  bool ask_for_place(const YieldRequest& request);
  /// This node stops as planned and admits nothing any more: its shares of the tenants' limits are
  /// the others' from now on. Does so once, however often it is called.
  void leave();
  /// This node's use of a runner has changed.
  void use_changed();
  /// The address bound, with the port that was taken.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::size_t peer_count() const { return zone_nodes_.size(); }
  /// Returns the addresses (`ip:port`) of the zone's nodes that were heard just now.
  [[nodiscard]] std::vector<std::string> live_neighbours() const;

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;

  void receive();
  void take(const std::string& bytes);
  void take_digest(LoadDigest digest);
  void take_tenants(const LoadDigest& digest, TimePoint now);
  void take_ejections(const LoadDigest& digest, TimePoint now);
  void take_zone_loads(ZoneLoads loads);
  void take_slot_message(const PeerLoadMessage& message);
  /// Sends a message of another zone to the nodes of this one.
  template <typename Message>
  void pass_on(Message message) {
    message.pass_on = false;
    send_to_zone(encode_message(message));
  }
  /// Sends to all nodes of this zone.
  void send_to_zone(const std::string& bytes);
  /// Sends to one node of each other zone.
  /// @param turn picks the node: another one for the next turn.
  void send_to_other_zones(const std::string& bytes, std::size_t turn);
  void take_end_reports(EndReports reports);
  void schedule_end_reports();
  void send_end_reports();
  void send_remote_end_reports();
  void schedule_send();
  void schedule_slots();
  [[nodiscard]] std::vector<LendingNode> lending_nodes() const;
  [[nodiscard]] std::uint32_t use_to_report(const Runner& runner, bool own_zone,
                                            TimePoint now) const;
  void send();
  void report_remote_use();
  void send_zone_loads();
  void send_to(const Endpoint& peer, const std::string& bytes);
  void schedule_expiry();
  void schedule_tenant_reports();
  void send_tenant_usage();
  /// Shortest time between two digests: longer the more nodes receive them.
  [[nodiscard]] Duration send_interval() const;
  /// @param zone only runners of this zone; empty: all.
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
  std::set<std::string> reported_zones_;                       ///< Zones that know of use there.
  std::size_t remote_turn_ = 0;  ///< Picks the node of a zone that gets the report.
  DemandSource demand_source_;
  std::function<void()> listener_;
  YieldHandler yield_handler_;
  PeerUseTable peer_uses_;
  std::optional<TenantGossip> tenant_gossip_;
  Quarantine* quarantine_ = nullptr;  ///< Null: ends are not reported.
  std::function<std::uint64_t()> version_source_;
  VersionListener version_listener_;
  PaceSource pace_source_;
  PaceListener pace_listener_;
  std::vector<DigestPart> digest_parts_;
  SlotExchange* slots_ = nullptr;  ///< Null: zones lend one another nothing.
  std::string buffer_;
  Endpoint from_;
  Timer send_timer_;
  Timer expiry_timer_;
  Timer tenant_timer_;
  Timer ends_timer_;
  Timer slots_timer_;
  bool slots_scheduled_ = false;
  bool ends_scheduled_ = false;
  std::size_t tenant_turn_ = 0;  ///< Picks the node of a zone that gets the zone's report.
  TimePoint last_sent_{};
  TimePoint neighbours_reported_{};
  bool send_scheduled_ = false;
  bool in_use_ = false;
  bool leaving_ = false;
};

}  // namespace stoathold
