/// @file
/// What nodes tell one another about their use of runners.
///
/// Runners know all of their load but tell it only in answers, which come seldom at any one node.
/// So each node sends its own use to the others of its zone whenever it changes. Of the use of
/// another zone's runners it seldom tells one node there, which passes that on inside its zone, so
/// that few bytes cross between zones. A lost message costs nothing: the next one holds
/// everything again. A node whose online work finds no place asks the node that runs the most batch
/// items in its zone to give one back.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "routing/runner_registry.h"

namespace stoathold {

/// A node's use of one runner.
struct RunnerUse {
  std::uint64_t runner = 0;  ///< Hash of its id.
  std::uint16_t in_flight = 0;
  std::uint16_t batch_in_flight = 0;  ///< Those that are batch items.
  std::uint32_t backlog_tokens = 0;   ///< Prompt tokens sent that have not led to an answer.
  std::uint16_t heard_ms_ago = 0;     ///< Since it last answered anything; saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, in_flight, batch_in_flight, backlog_tokens, heard_ms_ago);
  }
};

/// All runners that the sender uses, or those of the receiver's zone.
struct LoadDigest {
  std::uint64_t sender = 0;    ///< Hash of the node's name and start.
  std::uint64_t sequence = 0;  ///< Rises with each message of a sender.
  std::uint64_t zone = 0;      ///< Hash of the sender's zone.
  std::vector<RunnerUse> uses;
  std::vector<std::uint64_t> demand;  ///< Hashes of services for which online work waits.
  std::string origin;                 ///< Sender's `ip:port` if another node may pass this on.
  bool pass_on = false;               ///< The receiver passes it on inside its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, sequence, zone, uses, demand, origin, pass_on);
  }
};

/// Asks the receiver to end one batch run at a runner of the service in the zone.
struct YieldRequest {
  std::string service;
  std::string zone;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, zone);
  }
};

/// One datagram.
using PeerLoadMessage = std::variant<LoadDigest, YieldRequest>;

std::string encode_message(const PeerLoadMessage& message);
/// Returns false if the bytes are malformed.
bool decode_message(const std::string& bytes, PeerLoadMessage& message);

/// Where another node is reached, and which runners it uses first.
struct PeerAddress {
  std::string address;  ///< `ip:port`.
  std::string zone;
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
  /// Called for the services for which online work waits here, when a digest is made.
  using DemandSource = std::function<std::set<std::string>()>;
  void set_demand_source(DemandSource source) { demand_source_ = std::move(source); }
  /// Called when another node's use or demand has changed.
  void set_change_listener(std::function<void()> listener) { listener_ = std::move(listener); }
  /// Called when another node asks for a place.
  using YieldHandler = std::function<void(const YieldRequest&)>;
  void set_yield_handler(YieldHandler handler) { yield_handler_ = std::move(handler); }
  /// Asks the node that runs the most batch items at the service's runners in this zone for a
  /// place.
  /// @return false if none is known to run any.
  bool ask_for_place(const std::string& service);
  /// This node's use of a runner has changed.
  void use_changed();
  /// The address bound, with the port that was taken.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::size_t peer_count() const { return near_.size(); }

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;

  struct PeerState {
    std::uint64_t sequence = 0;
    std::uint64_t zone = 0;
    TimePoint received{};
    Endpoint endpoint;
    std::vector<RunnerUse> uses;
    std::vector<std::uint64_t> demand;
  };

  void receive();
  void take(const std::string& bytes);
  void take_digest(LoadDigest digest);
  void pass_on(LoadDigest digest);
  void learn_peer(const Endpoint& endpoint);
  void schedule_send();
  void send();
  void send_far();
  void send_to(const Endpoint& peer, const std::string& bytes);
  [[nodiscard]] bool is_batch_here(const RunnerUse& use, const std::string& service) const;
  [[nodiscard]] std::uint32_t batch_near(const PeerState& state, const std::string& service) const;
  void schedule_expiry();
  void expire();
  void recount();
  void recount_demand(TimePoint now);
  /// @param zone only runners of this zone; empty: all.
  [[nodiscard]] LoadDigest make_digest(const std::string& zone);

  boost::asio::any_io_executor executor_;
  RunnerRegistry& registry_;
  std::string zone_;
  std::uint64_t sender_;
  std::uint64_t sequence_ = 0;
  boost::asio::ip::udp::socket socket_;
  std::vector<Endpoint> near_;                        ///< Nodes of this zone.
  std::map<std::string, std::vector<Endpoint>> far_;  ///< Nodes of other zones, by zone.
  std::set<std::string> told_far_;                    ///< Zones that know of use there.
  std::size_t far_turn_ = 0;                          ///< Picks the node of a zone that is told.
  DemandSource demand_source_;
  std::function<void()> listener_;
  YieldHandler yield_handler_;
  std::map<std::uint64_t, PeerState> states_;
  std::string buffer_;
  Endpoint from_;
  boost::asio::steady_timer send_timer_;
  boost::asio::steady_timer expiry_timer_;
  TimePoint last_sent_{};
  bool send_scheduled_ = false;
  bool in_use_ = false;
};

}  // namespace stoathold
