// A server on a thread of its own, and callers that send and read in their own time.
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <future>
#include <list>
#include <thread>

#include "base/timer.h"
#include "net/byte_holders.h"
#include "net/http.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kMegabyte = 1024UL * 1024;
/// Marks: bodies up to 3 MB, answers up to 3.4 MB.
constexpr std::uint64_t kBudget = 4 * kMegabyte;
constexpr const char* kNotRun = R"("execution":"not_run")";

/// After it a connection without a request may be closed for another.
constexpr Duration kIdle = std::chrono::milliseconds(1100);

/// A caller with a small receive buffer: what it doesn't read stays at the server.
class RawCaller {
 public:
  /// @param from address of the caller.
  explicit RawCaller(const std::string& address, const std::string& from = "127.0.0.1")
      : socket_(loop_) {
    Tcp::endpoint endpoint;
    EXPECT_TRUE(parse_endpoint(address, endpoint));
    constexpr int kReceiveBytes = 8 * 1024;
    socket_.open(endpoint.protocol());
    socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
    socket_.bind({asio::ip::make_address(from), 0});
    socket_.connect(endpoint);
  }

  /// Sends what the server takes. @return whether it has taken all.
  bool send(const std::string& bytes) {
    boost::system::error_code error;
    asio::write(socket_, asio::buffer(bytes), error);
    return !error;
  }
  void send_head(const std::string& target, const std::string& more) {
    send("POST " + target + " HTTP/1.1\r\nHost: a\r\n" + more + "\r\n");
  }
  void send_request(const std::string& target, std::size_t body_bytes) {
    send_head(target, "Content-Length: " + std::to_string(body_bytes) + "\r\n");
    send(std::string(body_bytes, 'b'));
  }
  /// Reads until `end` has come, or the connection is closed.
  std::string read_until(const std::string& end) {
    std::array<char, 4096> bytes{};
    while (!text_.ends_with(end)) {
      boost::system::error_code error;
      const std::size_t count = socket_.read_some(asio::buffer(bytes), error);
      if (error) {
        end_ = error;
        break;
      }
      text_.append(bytes.data(), count);
    }
    return std::exchange(text_, {});
  }
  std::string read_all() { return read_until("\xff"); }
  /// How the connection ended.
  [[nodiscard]] boost::system::error_code end() const { return end_; }

 private:
  asio::io_context loop_;
  Tcp::socket socket_;
  std::string text_;
  boost::system::error_code end_;
};

class HttpServerBoundsTest : public testing::Test {
 protected:
  HttpServerBoundsTest()
      : server_(
            loop_.get_executor(), "127.0.0.1:0", HttpLimits{},
            [this](HttpExchange& exchange) { return handle(exchange); }, LoopThreads::kOne) {}
  ~HttpServerBoundsTest() override {
    server_.stop();
    loop_.stop();
    if (thread_.joinable()) thread_.join();
  }

  void start(std::uint64_t budget, std::size_t most_connections = 0) {
    budget_.set_limit(budget);
    server_.set_bounds({&budget_, most_connections, [this](const Shortage& shortage) {
                          const std::scoped_lock lock(mutex_);
                          acts_.push_back(shortage.act);
                        }});
    server_.start();
    thread_ = std::thread([this] { loop_.run(); });
  }

  /// `/held` answers once `open_` is set, `/long` writes an answer of 1 MB ahead.
  asio::awaitable<void> handle(HttpExchange& exchange) {
    ++handled_;
    Timer timer(exchange.executor());
    if (exchange.target() == "/long") {
      co_await answer_long(exchange);
      co_return;
    }
    while (exchange.target() == "/held" && !open_) {
      timer.expires_after(std::chrono::milliseconds(5));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    std::string body = std::to_string(exchange.body().size()) + ";";
    co_await exchange.respond(200, "text/plain", std::move(body));
  }

  asio::awaitable<void> answer_long(HttpExchange& exchange) {
    exchange.watch_disconnect([this] { told_gone_ = true; });
    bool sent = co_await exchange.start_stream("text/plain");
    for (int piece = 0; sent && piece < kPieces; ++piece) {
      const std::string bytes = piece_text(piece);
      sent = co_await exchange.write_ahead(bytes);
    }
    written_.set_value(sent);
    const bool delivered = co_await exchange.finish_stream();
    if (!delivered) told_gone_ = true;
  }

  static constexpr int kPieces = 90;
  static std::string piece_text(int piece) {
    std::string text = "piece " + std::to_string(piece) + " ";
    text.resize(10000, '.');
    return text;
  }
  [[nodiscard]] std::size_t count(ShortageAct act) {
    const std::scoped_lock lock(mutex_);
    return static_cast<std::size_t>(std::count(acts_.begin(), acts_.end(), act));
  }

  MemoryBudget budget_;
  asio::io_context loop_;
  HttpServer server_;
  std::thread thread_;
  std::atomic<int> handled_{0};
  std::atomic<bool> told_gone_{false};  ///< The handler of a long answer knows that its caller is.
  std::atomic<bool> open_{false};
  std::promise<bool> written_;
  std::mutex mutex_;
  std::vector<ShortageAct> acts_;
};

// The caller sends on while it is refused, and reads its answer only then.
TEST_F(HttpServerBoundsTest, ABodyThatNeverFitsIsRefusedBeforeItIsRead) {
  start(kBudget);
  RawCaller caller(server_.address());
  caller.send_head("/", "Content-Length: 3000000\r\n");
  EXPECT_TRUE(caller.send(std::string(3000000, 'b')));
  const std::string answer = caller.read_all();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer;
  EXPECT_NE(answer.find(kNotRun), std::string::npos) << answer;
  EXPECT_EQ(caller.end(), asio::error::eof);
  EXPECT_EQ(handled_, 0);
  EXPECT_EQ(count(ShortageAct::kBodyRefused), 1U);
}

TEST_F(HttpServerBoundsTest, ABodyThatDoesNotFitNowIsToldToComeBack) {
  start(kBudget);
  RawCaller first(server_.address());
  first.send_request("/held", kMegabyte);
  while (handled_ == 0) std::this_thread::yield();
  RawCaller second(server_.address());
  second.send_request("/", kMegabyte);
  const std::string answer = second.read_all();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  EXPECT_NE(answer.find(kNotRun), std::string::npos) << answer;
  EXPECT_EQ(handled_, 1);
  // The room that the first one takes is given back with its request.
  open_ = true;
  EXPECT_TRUE(first.read_until(";").ends_with("1048576;"));
  RawCaller third(server_.address());
  third.send_request("/", kMegabyte);
  EXPECT_TRUE(third.read_until(";").ends_with("1048576;"));
}

TEST_F(HttpServerBoundsTest, ABodyInChunksIsBoundedAsItGrows) {
  start(kBudget);
  RawCaller caller(server_.address());
  caller.send_head("/", "Transfer-Encoding: chunked\r\n");
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'b') + "\r\n";
  for (int sent = 0; sent < 64; ++sent) caller.send(chunk);
  const std::string answer = caller.read_all();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer;
  EXPECT_EQ(handled_, 0);
  RawCaller small(server_.address());
  small.send_head("/", "Transfer-Encoding: chunked\r\n");
  small.send(chunk + chunk + "0\r\n\r\n");
  EXPECT_TRUE(small.read_until(";").ends_with("131072;"));
}

// A body in chunks was refused as larger than the node can hold once twice its present size did not
// fit: with room for 3 MB, and so for two copies of 1.4 MB and of the next read, 1.4 MB got 413 or
// 503. Room was asked for by doubling only; now what the next read needs is enough.
TEST_F(HttpServerBoundsTest, ABodyInChunksThatFitsIsServedThoughTwiceItsSizeWouldNotFit) {
  start(kBudget);
  RawCaller caller(server_.address());
  caller.send_head("/", "Transfer-Encoding: chunked\r\n");
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'b') + "\r\n";
  for (int sent = 0; sent < 22; ++sent) caller.send(chunk);
  caller.send("c350\r\n" + std::string(50000, 'b') + "\r\n0\r\n\r\n");
  const std::string answer = caller.read_until(";");
  EXPECT_TRUE(answer.ends_with("1491792;")) << answer;
}

// A caller was told to come back with a body that never fits: its own connection (16 kB) was left
// out of the comparison. In 3,145,725 bytes of room, two copies of 1,568,000 bytes fit alone, but
// not beside the connection that brings them.
TEST_F(HttpServerBoundsTest, ABodyThatDoesNotFitBesideItsOwnConnectionNeverFits) {
  start(kBudget);
  RawCaller caller(server_.address());
  caller.send_head("/", "Content-Length: 1568000\r\n");
  const std::string answer = caller.read_all();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer;
  EXPECT_EQ(handled_, 0);
}

TEST_F(HttpServerBoundsTest, ABodyThatTricklesGivesItsRoomToOthers) {
  start(kBudget);
  RawCaller slow(server_.address());
  slow.send_head("/", "Content-Length: 1048576\r\n");
  RawCaller other(server_.address());
  // Its room is taken until then; afterwards it is the one without progress.
  std::string answer;
  const TimePoint end = monotonic_now() + 10 * kStallTime;
  while (!answer.starts_with("HTTP/1.1 200") && monotonic_now() < end) {
    slow.send("b");
    RawCaller caller(server_.address());
    caller.send_request("/", kMegabyte);
    answer = caller.read_until(";");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503"));
  }
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  const std::string refusal = slow.read_all();
  EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
  EXPECT_NE(refusal.find(kNotRun), std::string::npos) << refusal;
  EXPECT_EQ(count(ShortageAct::kBodyCutOff), 1U);
}

TEST_F(HttpServerBoundsTest, AnAnswerIsReadAheadForACallerThatDoesNotRead) {
  start(kBudget);
  RawCaller caller(server_.address());
  caller.send_request("/long", 1);
  // All is written though nothing has been read.
  EXPECT_TRUE(written_.get_future().get());
  std::string expected;
  for (int piece = 0; piece < kPieces; ++piece) {
    expected += "2710\r\n" + piece_text(piece) + "\r\n";
  }
  const std::string answer = caller.read_until("\r\n0\r\n\r\n");
  EXPECT_EQ(answer.substr(answer.find("\r\n\r\n") + 4), expected + "0\r\n\r\n");
  EXPECT_TRUE(acts_.empty());
}

TEST_F(HttpServerBoundsTest, ACallerThatTakesNothingGivesItsRoomToOthers) {
  start(kBudget);
  RawCaller slow(server_.address());
  slow.send_request("/long", 1);
  EXPECT_TRUE(written_.get_future().get());
  std::string answer;
  const TimePoint end = monotonic_now() + 10 * kStallTime;
  while (!answer.starts_with("HTTP/1.1 200") && monotonic_now() < end) {
    RawCaller other(server_.address());
    other.send_request("/", kMegabyte + kMegabyte / 4);
    answer = other.read_until(";");
  }
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  const std::string broken = slow.read_until("\r\n0\r\n\r\n");
  EXPECT_FALSE(broken.ends_with("\r\n0\r\n\r\n"));
  EXPECT_EQ(slow.end(), asio::error::connection_reset);
  while (!told_gone_ && monotonic_now() < end) std::this_thread::yield();
  EXPECT_TRUE(told_gone_);
  EXPECT_EQ(count(ShortageAct::kAnswerCutOff), 1U);
}

TEST_F(HttpServerBoundsTest, TheConnectionThatIsIdleForLongestGoesForANewOne) {
  start(kBudget, 2);
  RawCaller first(server_.address());
  first.send_request("/", 1);
  EXPECT_TRUE(first.read_until(";").ends_with("1;"));
  RawCaller second(server_.address());
  second.send_request("/held", 2);
  while (handled_ < 2) std::this_thread::yield();
  // A connection that is new is not taken for an idle one.
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  RawCaller third(server_.address());
  third.send_request("/held", 3);
  while (handled_ < 3) std::this_thread::yield();
  EXPECT_EQ(first.read_all(), "");
  EXPECT_EQ(first.end(), asio::error::eof);
  // None is idle now: the new one is told to come back, and nobody is closed for it.
  RawCaller fourth(server_.address());
  fourth.send_request("/", 4);
  const std::string refusal = fourth.read_all();
  EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
  EXPECT_NE(refusal.find(kNotRun), std::string::npos) << refusal;
  open_ = true;
  EXPECT_TRUE(second.read_until(";").ends_with("2;"));
  EXPECT_TRUE(third.read_until(";").ends_with("3;"));
  EXPECT_EQ(count(ShortageAct::kIdleClosed), 1U);
  EXPECT_EQ(count(ShortageAct::kConnectionRefused), 1U);
}

// The connection that had been idle for longest was closed for a new one, whoever held it: so a
// caller with many connections pushed out those of callers that hold one each.
TEST_F(HttpServerBoundsTest, OfIdleConnectionsThoseOfWhoHoldsMostGoFirst) {
  start(kBudget, 4);
  RawCaller single(server_.address(), "127.0.0.2");
  single.send_request("/", 1);
  EXPECT_TRUE(single.read_until(";").ends_with("1;"));
  std::list<RawCaller> many;
  for (int i = 0; i < 3; ++i) {
    many.emplace_back(server_.address()).send_request("/", 2);
    EXPECT_TRUE(many.back().read_until(";").ends_with("2;"));
  }
  std::this_thread::sleep_for(kIdle);
  RawCaller other(server_.address(), "127.0.0.3");
  other.send_request("/", 3);
  EXPECT_TRUE(other.read_until(";").ends_with("3;"));
  single.send_request("/", 5);
  ASSERT_TRUE(single.read_until(";").ends_with("5;"));
  EXPECT_EQ(many.front().read_all(), "");
  // One more of whoever holds most is at nobody else's cost.
  many.emplace_back(server_.address()).send_request("/", 4);
  EXPECT_TRUE(many.back().read_until(";").ends_with("4;"));
  EXPECT_EQ(count(ShortageAct::kIdleClosed), 2U);
}

// Connections whose heads came by the byte were neither idle nor held bytes: at the bound everybody
// else was refused until their time for a head was over.
TEST_F(HttpServerBoundsTest, HeadsThatTrickleGiveTheirConnectionsToOthers) {
  start(kBudget, 3);
  std::list<RawCaller> trickling;
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(trickling.emplace_back(server_.address()).send("POST / HT"));
  }
  std::this_thread::sleep_for(kIdle);
  EXPECT_TRUE(trickling.front().send("T"));
  RawCaller other(server_.address(), "127.0.0.2");
  other.send_request("/", 1);
  ASSERT_TRUE(other.read_until(";").ends_with("1;"));
  EXPECT_EQ(trickling.front().read_all(), "");
  EXPECT_EQ(handled_, 1);
}

TEST_F(HttpServerBoundsTest, WithoutALimitNothingIsRefused) {
  start(0);
  RawCaller caller(server_.address());
  caller.send_request("/", 6 * kMegabyte);
  EXPECT_TRUE(caller.read_until(";").ends_with("6291456;"));
  EXPECT_TRUE(acts_.empty());
}

}  // namespace
}  // namespace stoathold
