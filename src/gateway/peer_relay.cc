#include "gateway/peer_relay.h"

#include <utility>

#include "base/event_log.h"
#include "base/log_fields.h"
#include "base/random.h"
#include "gateway/headers.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Maximum number of nodes that are tried for one call. If the log refuses a third of the nodes,
/// one call in a hundred meets four of them in a row.
constexpr std::size_t kMaxPeers = 4;
/// Timeout of a relayed call. A submission takes 30 to 130 ms (measured on two large deployments),
/// and callers wait a second or more.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(700);
/// Largest response of another node: a page of results, which ends with a result of up to 8 MB.
constexpr std::uint64_t kMaxResponseBytes = 32ULL * 1024 * 1024;
constexpr int kServiceUnavailable = 503;

}  // namespace

PeerRelay::PeerRelay(const asio::any_io_executor& executor, const HeaderDialect& dialect,
                     PeerSource peers)
    : client_(executor, LoopThreads::kOne), dialect_(dialect), peers_(std::move(peers)) {}

HttpCall PeerRelay::make_call(const HttpExchange& exchange) const {
  HttpCall call;
  call.method = std::string(exchange.method());
  call.target = std::string(exchange.target());
  call.body = exchange.body();
  call.timeout = kPeerTimeout;
  call.max_reply_bytes = kMaxResponseBytes;
  const std::string_view connection = exchange.header("Connection");
  for (auto& header : exchange.headers()) {
    const bool not_forwarded = is_connection_header(header.name) ||
                               names_header(connection, header.name) ||
                               // A blocking read could take longer than the timeout of the call.
                               same_header_name(header.name, dialect_.max_wait_ms);
    if (!not_forwarded) call.headers.push_back(std::move(header));
  }
  return call;
}

asio::awaitable<HttpReply> PeerRelay::relay(const HttpExchange& exchange, TimePoint deadline) {
  const HttpCall call = make_call(exchange);
  const std::string request(exchange.header(dialect_.request_id));
  std::vector<std::string> addresses = peers_();
  for (std::size_t attempts = 0; attempts < kMaxPeers && !addresses.empty(); ++attempts) {
    if (monotonic_now() >= deadline) break;
    HttpCall next = call;
    next.address = take_random(addresses);
    const std::string peer = next.address;
    const TimePoint start = monotonic_now();
    HttpReply reply = co_await client_.call(std::move(next));
    log_event(Event::kCallRelayed, {{"request", request},
                                    {"target", call.target},
                                    {"peer", peer},
                                    {"status", std::to_string(reply.status)},
                                    {"duration_ms", milliseconds_text(monotonic_now() - start)}});
    const bool refused =
        reply.progress == HttpProgress::kAnswered && reply.status == kServiceUnavailable;
    if (reply.progress == HttpProgress::kNotSent || refused) continue;
    co_return reply;
  }
  const HttpReply not_sent;
  co_return not_sent;
}

}  // namespace stoathold
