/// @file
/// The peer protocol on the wire: length-prefixed cereal envelopes over TCP.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/peer_messages.h"

namespace stoathold {

/// Traffic counters of a transport since its start.
struct PeerTraffic {
  std::uint64_t messages_in = 0;
  std::uint64_t messages_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t dropped =
      0;  ///< Messages dropped because there was no connection or the queue was full.
};

/// Sends and receives envelopes. Opens one outgoing connection per peer address when it is first
/// needed. A message that cannot be sent is dropped, since senders repeat whatever must arrive.
/// Thread safe.
class PeerTransport {
 public:
  /// Called for each received envelope, on any thread.
  using Receiver = std::function<void(const PeerEnvelope&)>;

  /// Binds immediately; throws `std::system_error` if that fails.
  PeerTransport(const boost::asio::any_io_executor& executor, const std::string& address,
                Receiver receiver);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  void start();
  void stop();
  void send(const std::string& address, const PeerEnvelope& envelope);
  [[nodiscard]] std::string address() const;
  [[nodiscard]] PeerTraffic traffic() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// Maximum size of a received frame; a larger one closes the connection.
inline constexpr std::uint32_t kMaxPeerFrameBytes = 64U * 1024U * 1024U;

}  // namespace stoathold
