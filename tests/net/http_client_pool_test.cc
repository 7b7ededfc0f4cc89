#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <list>
#include <string>

#include "net/http.h"
#include "tests/jobs/run_awaitable.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr Duration kCallTime = std::chrono::milliseconds(400);
constexpr Duration kPieceInterval = std::chrono::milliseconds(20);

/// Server that answers `/short` immediately, `/slow` one byte at a time for longer than the timeout
/// of a request, `/halting` with the first bytes only, `/trailers` with trailers without end,
/// `/interim` with an interim response first, `/odd` with a status that is none, and `/silent`
/// never.
class SlowPeer {
 public:
  explicit SlowPeer(asio::io_context& loop)
      : acceptor_(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(loop, accept(), asio::detached);
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int connections = 0;
  std::size_t trailer_bytes = 0;  ///< Bytes of trailers that were sent.

  static constexpr std::size_t kMaxTrailerBytes = 128UL * 1024 * 1024;

 private:
  static constexpr std::size_t kTrailerPieceBytes = 64UL * 1024;

  asio::awaitable<void> accept() {
    while (true) {
      sockets_.push_back(co_await acceptor_.async_accept(asio::use_awaitable));
      ++connections;
      asio::co_spawn(acceptor_.get_executor(), serve(sockets_.back()), asio::detached);
    }
  }
  asio::awaitable<void> serve(Tcp::socket& socket) {
    std::string text;
    while (true) {
      const auto [error, size] = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(text), "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
      if (error) co_return;
      const std::string request = text.substr(0, size);
      text.erase(0, size);
      if (request.find("/silent") != std::string::npos) continue;
      if (request.find("/halting") != std::string::npos) {
        co_await send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nx");
        continue;
      }
      if (request.find("/interim") != std::string::npos) {
        co_await send(socket, "HTTP/1.1 102 Processing\r\n\r\n");
      }
      if (request.find("/odd") != std::string::npos) {
        co_await send(socket, "HTTP/1.1 000 Unknown\r\nContent-Length: 3\r\n\r\nbad");
        continue;
      }
      if (request.find("/trailers") != std::string::npos) {
        co_await answer_with_trailers(socket);
        co_return;
      }
      if (request.find("/slow") != std::string::npos) {
        co_await answer_slowly(socket);
        co_return;
      }
      co_await send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  }
  static asio::awaitable<bool> send(Tcp::socket& socket, std::string bytes) {
    const auto [error, size] = co_await asio::async_write(socket, asio::buffer(bytes),
                                                          asio::as_tuple(asio::use_awaitable));
    co_return !error;
  }
  asio::awaitable<void> answer_with_trailers(Tcp::socket& socket) {
    bool open =
        co_await send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: ");
    while (open && trailer_bytes < kMaxTrailerBytes) {
      open = co_await send(socket, std::string(kTrailerPieceBytes, 'v'));
      trailer_bytes += kTrailerPieceBytes;
    }
  }
  static asio::awaitable<void> answer_slowly(Tcp::socket& socket) {
    asio::steady_timer timer(socket.get_executor());
    bool open = co_await send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    while (open) {
      timer.expires_after(kPieceInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      open = co_await send(socket, "x");
    }
  }

  Tcp::acceptor acceptor_;
  std::list<Tcp::socket> sockets_;
};

class HttpClientPoolTest : public testing::Test {
 protected:
  [[nodiscard]] HttpCall make_call(std::string target) const {
    HttpCall call;
    call.address = peer.address();
    call.method = "GET";
    call.target = std::move(target);
    call.timeout = kCallTime;
    return call;
  }
  asio::awaitable<HttpReply> call(std::string target) {
    HttpCall call = make_call(std::move(target));
    co_return co_await client.call(std::move(call));
  }
  /// Leaves two idle connections in the pool.
  void connect_twice() {
    int answered = 0;
    for (int i = 0; i < 2; ++i) {
      asio::co_spawn(loop, call("/short"), [&](const std::exception_ptr&, const HttpReply& reply) {
        if (reply.ok()) ++answered;
      });
    }
    loop.restart();
    while (answered < 2 && loop.run_one() > 0) {
    }
    ASSERT_EQ(peer.connections, 2);
  }

  asio::io_context loop;
  SlowPeer peer{loop};
  HttpClient client{loop.get_executor(), LoopThreads::kOne};
};

/// Guards against dropping live pooled connections. A large read over a slow link timed out while
/// its bytes were still arriving, and the client then closed all idle connections to the store:
/// each following call paid for a new connection on the same saturated link. A peer that sends
/// bytes until the timeout is alive.
TEST_F(HttpClientPoolTest, TimeoutDuringTransferKeepsIdleConnections) {
  connect_twice();
  EXPECT_EQ(run_awaitable(loop, call("/slow")).progress, HttpProgress::kSent);
  EXPECT_TRUE(run_awaitable(loop, call("/short")).ok());
  EXPECT_EQ(peer.connections, 2);
}

// Guards against trailers that are received until the timeout, and then kept.
TEST_F(HttpClientPoolTest, TrailersWithoutEndAreNotReceived) {
  constexpr std::size_t kSocketBufferBytes = 16UL * 1024 * 1024;
  EXPECT_EQ(run_awaitable(loop, call("/trailers")).progress, HttpProgress::kSent);
  EXPECT_LT(peer.trailer_bytes, kSocketBufferBytes);
}

// Guards against an interim response that is taken for the answer, so that the answer itself is
// taken for that to the next call of the connection.
TEST_F(HttpClientPoolTest, SkipsInterimResponses) {
  const HttpReply reply = run_awaitable(loop, call("/interim"));
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, "ok");
}

// Guards against a body that is received beyond the limit of its call.
TEST_F(HttpClientPoolTest, ABodyOverTheLimitIsNoAnswer) {
  HttpCall over_limit = make_call("/short");
  over_limit.max_reply_bytes = 1;
  const HttpReply reply = run_awaitable(loop, client.call(std::move(over_limit)));
  EXPECT_EQ(reply.progress, HttpProgress::kSent);
  EXPECT_TRUE(reply.oversized);
  HttpCall at_limit = make_call("/short");
  at_limit.max_reply_bytes = 2;
  EXPECT_TRUE(run_awaitable(loop, client.call(std::move(at_limit))).ok());
}

TEST_F(HttpClientPoolTest, AStatusThatIsNoneIsNoAnswer) {
  const HttpReply reply = run_awaitable(loop, call("/odd"));
  EXPECT_EQ(reply.progress, HttpProgress::kSent);
  EXPECT_EQ(reply.status, 0);
}

TEST_F(HttpClientPoolTest, TimeoutWithoutResponseDropsIdleConnections) {
  connect_twice();
  EXPECT_EQ(run_awaitable(loop, call("/silent")).progress, HttpProgress::kSent);
  EXPECT_TRUE(run_awaitable(loop, call("/short")).ok());
  EXPECT_EQ(peer.connections, 3);
}

TEST_F(HttpClientPoolTest, TimeoutAfterStalledResponseDropsIdleConnections) {
  connect_twice();
  EXPECT_EQ(run_awaitable(loop, call("/halting")).progress, HttpProgress::kSent);
  EXPECT_TRUE(run_awaitable(loop, call("/short")).ok());
  EXPECT_EQ(peer.connections, 3);
}

}  // namespace
}  // namespace stoathold
