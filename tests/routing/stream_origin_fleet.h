/// @file
/// Simulated nodes that exchange the origins of streams, without sockets, on the virtual clock.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "routing/load_messages.h"
#include "routing/stream_origins.h"
#include "tests/jobs/virtual_clock.h"

namespace stoathold {

inline constexpr const char* kFleetService = "chat";

/// Nodes on a lossy network. A node that is killed loses its state; a restarted one begins anew.
class StreamOriginFleet {
 public:
  StreamOriginFleet(int nodes, int zones, double loss, unsigned seed)
      : zones_(zones), loss_(loss), random_(seed) {
    nodes_.resize(static_cast<std::size_t>(nodes));
    for (int node = 0; node < nodes; ++node) start(node);
  }

  [[nodiscard]] int size() const { return static_cast<int>(nodes_.size()); }
  [[nodiscard]] int zone_of(int node) const { return node % zones_; }
  [[nodiscard]] bool alive(int node) const { return nodes_[index(node)].origins != nullptr; }
  [[nodiscard]] StreamOrigins& origins(int node) { return *nodes_[index(node)].origins; }
  std::mt19937& random() { return random_; }
  int random_node() { return static_cast<int>(random_() % nodes_.size()); }
  int random_live_node() {
    while (true) {
      const int node = random_node();
      if (alive(node)) return node;
    }
  }

  /// Starts a node, which reads the current list of runners.
  void start(int node) {
    Node& state = nodes_[index(node)];
    state.registry = std::make_unique<RunnerRegistry>();
    state.registry->set_confirmation_source(
        [this, node] { return reads_store(node) ? monotonic_now() : nodes_[index(node)].read_at; });
    for (const auto& [id, version] : listed_) list_at(node, id, version);
    state.registry->restart_version_history();
    state.origins = std::make_unique<StreamOrigins>(loop_.get_executor(), *state.registry);
    state.origins->set_transport(
        [this, node](const std::string& to, const auto& message) { send(node, to, message); });
    state.origins->set_members(members(), address(node));
  }
  void kill(int node) { nodes_[index(node)].origins.reset(); }
  /// Cuts a node off from the store: it keeps the list that it has.
  void cut_from_store(int node) {
    nodes_[index(node)].read_at = monotonic_now();
    cut_from_store_.insert(node);
  }
  /// Cuts all messages from and to a node.
  void cut_from_nodes(int node) { cut_from_nodes_.insert(node); }

  /// Lists a runner in the directory.
  void list_runner(const std::string& id, const std::string& version) {
    listed_[id] = version;
    for (int node = 0; node < size(); ++node) {
      if (alive(node) && reads_store(node)) list_at(node, id, version);
    }
  }
  void unlist_runner(const std::string& id) {
    listed_.erase(id);
    for (int node = 0; node < size(); ++node) {
      if (alive(node) && reads_store(node)) nodes_[index(node)].registry->remove(id);
    }
  }

  /// Lets time pass.
  void advance(Duration length) {
    const TimePoint end = monotonic_now() + length;
    while (monotonic_now() < end) {
      step();
      advance_clock(std::chrono::milliseconds(1));
    }
    step();
  }

  /// Begins a lookup at a node.
  void start_find(int node, StreamKey stream, std::function<void(const OriginLookup&)> found) {
    ++lookups_;
    boost::asio::co_spawn(
        loop_, origins(node).find(stream, kFleetService),
        [this, found = std::move(found)](const std::exception_ptr&, const OriginLookup& lookup) {
          --lookups_;
          found(lookup);
        });
  }
  /// Lets time pass until all lookups have ended.
  void finish_lookups() {
    step();
    while (lookups_ > 0) {
      advance_clock(std::chrono::milliseconds(1));
      step();
    }
  }
  /// Looks an origin up at a node.
  OriginLookup find(int node, StreamKey stream) {
    OriginLookup result;
    start_find(node, stream, [&](const OriginLookup& lookup) { result = lookup; });
    finish_lookups();
    return result;
  }

  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;

 private:
  struct Node {
    std::unique_ptr<RunnerRegistry> registry;
    std::unique_ptr<StreamOrigins> origins;  ///< Null while the node is down.
    TimePoint read_at{};                     ///< When it was cut off from the store.
  };
  struct Datagram {
    TimePoint due{};
    int from = 0;
    int to = 0;
    StreamOriginMessage message;
  };

  static std::size_t index(int node) { return static_cast<std::size_t>(node); }
  static std::string address(int node) { return "node:" + std::to_string(node); }
  [[nodiscard]] bool reads_store(int node) const { return !cut_from_store_.contains(node); }
  [[nodiscard]] std::vector<MemberName> members() const {
    std::vector<MemberName> names;
    for (int node = 0; node < size(); ++node) {
      names.push_back(
          {"n" + std::to_string(node), "z" + std::to_string(zone_of(node)), address(node)});
    }
    return names;
  }

  void list_at(int node, const std::string& id, const std::string& version) {
    RunnerRecord record{id, kFleetService, "10.0.0.1:80", "z0", 10, false};
    record.software_version = version;
    nodes_[index(node)].registry->upsert(std::move(record));
  }

  void send(int from, const std::string& to, const StreamOriginMessage& message) {
    const auto encoded = std::visit(
        [](const auto& content) { return encode_message(PeerLoadMessage(content)); }, message);
    ++messages;
    bytes += encoded.size();
    if (std::uniform_real_distribution<>(0, 1)(random_) < loss_) return;
    const int target = std::stoi(to.substr(to.find(':') + 1));
    if (cut_from_nodes_.contains(from) || cut_from_nodes_.contains(target)) return;
    const Duration delay = std::chrono::milliseconds(1 + random_() % 3);
    datagrams_.push_back({monotonic_now() + delay, from, target, message});
  }

  /// Delivers due messages and runs what is ready.
  void step() {
    for (std::size_t count = datagrams_.size(); count > 0; --count) {
      Datagram datagram = std::move(datagrams_.front());
      datagrams_.pop_front();
      if (datagram.due > monotonic_now()) {
        datagrams_.push_back(std::move(datagram));
      } else if (alive(datagram.to)) {
        origins(datagram.to).handle(datagram.message, address(datagram.from));
      }
    }
    for (Node& node : nodes_) {
      if (node.origins) node.origins->send_pending();
    }
    // The event loop looks for expired timers of the virtual clock when a steady timer wakes it.
    boost::asio::steady_timer wake(loop_, std::chrono::steady_clock::duration{0});
    wake.async_wait([](boost::system::error_code) {});
    loop_.restart();
    loop_.poll();
  }

  int zones_;
  double loss_;
  std::mt19937 random_;
  boost::asio::io_context loop_;
  std::map<std::string, std::string> listed_;  ///< Versions by runner id.
  int lookups_ = 0;                            ///< In flight.
  std::set<int> cut_from_store_;
  std::set<int> cut_from_nodes_;
  std::vector<Node> nodes_;
  std::deque<Datagram> datagrams_;
};

/// What is lost at once.
enum class FleetLoss : std::uint8_t { kOneNode, kHalfOfAZone, kWholeZone, kHalfOfAll };

/// Result of one run of `measure_known_origins`.
struct KnownOrigins {
  int resumed = 0;  ///< Streams that were cut by the loss.
  int known = 0;    ///< Those whose origin a node told.
  int wrong = 0;    ///< Those of which a node told another origin.
  double messages_per_stream = 0;
  double bytes_per_stream = 0;
};

/// Streams begin at all nodes while two versions serve, then nodes are lost, and the callers of the
/// streams that began there ask other nodes; a part of them nodes that have just started again.
inline KnownOrigins measure_known_origins(int nodes, FleetLoss loss, unsigned seed) {
  constexpr int kStreamsPerNode = 60;
  constexpr double kDatagramLoss = 0.01;
  const int zones = std::min(nodes, 3);
  StreamOriginFleet fleet(nodes, zones, kDatagramLoss, seed);
  fleet.list_runner("r1", "v1");
  fleet.list_runner("r2", "v2");
  struct Stream {
    StreamKey key{};
    int node = 0;
    SoftwareVersion version{};
  };
  std::vector<Stream> streams;
  KnownOrigins result;
  for (int i = 0; i < kStreamsPerNode * nodes; ++i) {
    const auto version = software_version(fleet.random()() % 2 == 0 ? "v1" : "v2");
    const Stream stream{stream_key("", "host", "a" + std::to_string(i)), fleet.random_node(),
                        version};
    fleet.origins(stream.node).record(stream.key, kFleetService, stream.version);
    streams.push_back(stream);
    if (i % (2 * nodes) == 0) fleet.advance(std::chrono::milliseconds(1));
  }
  result.messages_per_stream =
      static_cast<double>(fleet.messages) / static_cast<double>(streams.size());
  result.bytes_per_stream = static_cast<double>(fleet.bytes) / static_cast<double>(streams.size());
  std::set<int> lost;
  for (int node = 0; node < nodes; ++node) {
    const bool in_zone = fleet.zone_of(node) == 0;
    const bool is_lost = (loss == FleetLoss::kOneNode && node == 0) ||
                         (loss == FleetLoss::kHalfOfAZone && in_zone && node / zones % 2 == 0) ||
                         (loss == FleetLoss::kWholeZone && in_zone) ||
                         (loss == FleetLoss::kHalfOfAll && fleet.random()() % 2 == 0);
    if (is_lost) lost.insert(node);
  }
  if (static_cast<int>(lost.size()) == nodes) lost.erase(lost.begin());
  for (const int node : lost) fleet.kill(node);
  fleet.advance(std::chrono::milliseconds(20));
  const auto resume = [&](std::size_t first, std::size_t end) {
    for (std::size_t i = first; i < end; ++i) {
      const Stream& stream = streams[i];
      if (!lost.contains(stream.node)) continue;
      ++result.resumed;
      fleet.start_find(fleet.random_live_node(), stream.key, [&](const OriginLookup& lookup) {
        if (lookup.knowledge != OriginKnowledge::kRecorded) return;
        ++result.known;
        if (lookup.origin.version != stream.version) ++result.wrong;
      });
    }
    fleet.finish_lookups();
  };
  resume(0, streams.size() / 2);
  for (const int node : lost) fleet.start(node);
  resume(streams.size() / 2, streams.size());
  return result;
}

}  // namespace stoathold
