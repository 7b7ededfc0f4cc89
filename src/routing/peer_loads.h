/// @file
/// What the nodes of a zone tell one another about their use of runners.
///
/// Runners know all of their load but tell it only in answers, which come seldom at any one node.
/// So each node sends its own use to the others of its zone whenever it changes. A lost message
/// costs nothing: the next one holds everything again.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

#include "routing/runner_registry.h"

namespace stoathold {

/// A node's use of one runner.
struct RunnerUse {
  std::uint64_t runner = 0;  ///< Hash of its id.
  std::uint16_t in_flight = 0;
  std::uint32_t backlog_tokens = 0;  ///< Prompt tokens sent that have not led to an answer.
  std::uint16_t heard_ms_ago = 0;    ///< Since it last answered anything; saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, in_flight, backlog_tokens, heard_ms_ago);
  }
};

/// One message: all runners that the sender uses.
struct LoadDigest {
  std::uint64_t sender = 0;    ///< Hash of the node's name and start.
  std::uint64_t sequence = 0;  ///< Rises with each message of a sender.
  std::vector<RunnerUse> uses;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, sequence, uses);
  }
};

std::string encode_digest(const LoadDigest& digest);
/// Returns false if the bytes are malformed.
bool decode_digest(const std::string& bytes, LoadDigest& digest);

/// Sends and receives digests over UDP, and keeps `Runner::set_peer_use` up to date. One thread.
class PeerLoads {
 public:
  /// Binds at once; throws `boost::system::system_error` if that fails.
  PeerLoads(boost::asio::any_io_executor executor, RunnerRegistry& registry,
            const std::string& listen, std::uint64_t sender);

  void start();
  /// The other nodes of the zone, as `ip:port`.
  void set_peers(const std::vector<std::string>& addresses);
  /// This node's use of a runner has changed.
  void use_changed();
  /// The address bound, with the port that was taken.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::size_t peer_count() const { return peers_.size(); }

 private:
  struct PeerState {
    std::uint64_t sequence = 0;
    TimePoint received{};
    std::vector<RunnerUse> uses;
  };

  void receive();
  void take(const std::string& bytes);
  void learn_peer(const boost::asio::ip::udp::endpoint& endpoint);
  void schedule_send();
  void send();
  void schedule_expiry();
  void expire();
  void recount();
  [[nodiscard]] LoadDigest make_digest();

  boost::asio::any_io_executor executor_;
  RunnerRegistry& registry_;
  std::uint64_t sender_;
  std::uint64_t sequence_ = 0;
  boost::asio::ip::udp::socket socket_;
  std::vector<boost::asio::ip::udp::endpoint> peers_;
  std::map<std::uint64_t, PeerState> states_;
  std::string buffer_;
  boost::asio::ip::udp::endpoint from_;
  boost::asio::steady_timer send_timer_;
  boost::asio::steady_timer expiry_timer_;
  TimePoint last_sent_{};
  bool send_scheduled_ = false;
  bool in_use_ = false;
};

}  // namespace stoathold
