#include "gateway/peer_relay.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "tests/gateway/scripted_runner.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

/// Another node, which responds to relayed calls with a fixed status and records the last call.
struct Peer {
  Peer(boost::asio::io_context& loop, int status)
      : server(loop.get_executor(), "127.0.0.1:0", HttpLimits{},
               [this, status](HttpExchange& exchange) { return serve(exchange, status); }) {
    server.start();
  }
  boost::asio::awaitable<void> serve(HttpExchange& exchange, int status) {
    ++calls;
    host = std::string(exchange.header("Host"));
    body = exchange.body();
    blocking = !exchange.header("X-Max-Wait-Ms").empty();
    co_await exchange.respond(status, "application/json", "from peer");
  }

  int calls = 0;
  std::string host;
  std::string body;
  bool blocking = false;
  HttpServer server;
};

/// A node that relays every call.
class PeerRelayTest : public testing::Test {
 protected:
  PeerRelayTest()
      : relay(loop.get_executor(), dialect, [this] { return peers; }),
        server(loop.get_executor(), "127.0.0.1:0", HttpLimits{},
               [this](HttpExchange& exchange) { return serve(exchange); }) {
    server.start();
  }

  boost::asio::awaitable<void> serve(HttpExchange& exchange) {
    response = co_await relay.relay(exchange, deadline);
    co_await exchange.respond(200, "text/plain", {});
  }
  void ask() {
    HttpCall call;
    call.address = server.address();
    call.method = "POST";
    call.target = "/jobs/";
    call.body = "the job";
    call.headers = {{"Host", "a.example"}, {"X-Request-Id", "id-1"}, {"X-Max-Wait-Ms", "900"}};
    HttpClient client(loop.get_executor());
    const HttpReply reply = run_awaitable(loop, client.call(std::move(call)));
    EXPECT_EQ(reply.status, 200);
  }

  boost::asio::io_context loop;
  HeaderDialect dialect;
  std::vector<std::string> peers;
  HttpReply response;
  TimePoint deadline = TimePoint::max();
  PeerRelay relay;
  HttpServer server;
};

TEST_F(PeerRelayTest, TriesTheNextNodeAfterARefusal) {
  Peer refusing(loop, 503);
  Peer accepting(loop, 202);
  peers = {refusing.server.address(), "127.0.0.1:1", accepting.server.address()};
  ask();
  EXPECT_EQ(response.progress, HttpProgress::kAnswered);
  EXPECT_EQ(response.status, 202);
  EXPECT_EQ(response.body, "from peer");
  EXPECT_EQ(accepting.calls, 1);
  EXPECT_EQ(accepting.host, "a.example");
  EXPECT_EQ(accepting.body, "the job");
  EXPECT_FALSE(accepting.blocking);
}

TEST_F(PeerRelayTest, ReportsNotSentIfAllNodesRefuse) {
  Peer refusing(loop, 503);
  peers = {refusing.server.address(), "127.0.0.1:1"};
  ask();
  EXPECT_EQ(response.progress, HttpProgress::kNotSent);
}

/// Guards against a call that is executed after its node has ended, so that nobody is told.
TEST_F(PeerRelayTest, TriesNoNodeAfterTheDeadline) {
  Peer accepting(loop, 202);
  peers = {accepting.server.address()};
  deadline = monotonic_now();
  ask();
  EXPECT_EQ(response.progress, HttpProgress::kNotSent);
  EXPECT_EQ(accepting.calls, 0);
}

TEST_F(PeerRelayTest, ReportsNotSentWithoutOtherNodes) {
  ask();
  EXPECT_EQ(response.progress, HttpProgress::kNotSent);
}

TEST_F(PeerRelayTest, DoesNotTryAnotherNodeAfterAnUnknownOutcome) {
  ScriptedRunner silent(loop, {ScriptedResponse("", true)});
  peers = {silent.address()};
  ask();
  EXPECT_EQ(response.progress, HttpProgress::kSent);
}

}  // namespace
}  // namespace stoathold
