#include <array>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <set>
#include <system_error>

#include "emulator/admin.h"
#include "emulator/emulated_service.h"

namespace stoathold::emulator {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using Tcp = asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kCopyBytes = 64UL * 1024;

Tcp::endpoint endpoint_of(const std::string& address) {
  std::string host;
  std::uint16_t port = 0;
  if (!split_address(address, host, port)) {
    throw std::system_error(std::make_error_code(std::errc::invalid_argument), address);
  }
  return {asio::ip::make_address(host), port};
}

/// TCP proxy that can delay traffic and cut all connections.
class EmulatedLink final : public EmulatedService {
 public:
  EmulatedLink(const asio::any_io_executor& executor, const std::string& listen,
               const std::string& target, const std::string& admin_listen)
      : executor_(executor),
        acceptor_(executor, endpoint_of(listen)),
        target_(endpoint_of(target)),
        admin_(executor, admin_listen, HttpLimits{},
               [this](HttpExchange& exchange) { return serve_admin(exchange); }) {
    admin_.start();
    asio::co_spawn(executor_, accept_loop(), asio::detached);
  }

  std::string address() const override {
    const auto endpoint = acceptor_.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

 private:
  struct ProxiedConnection {
    explicit ProxiedConnection(Tcp::socket client_in, const asio::any_io_executor& executor)
        : client(std::move(client_in)), upstream(executor) {}
    Tcp::socket client;
    Tcp::socket upstream;
    void close() {
      boost::system::error_code ignored;
      client.close(ignored);
      upstream.close(ignored);
    }
  };

  asio::awaitable<void> accept_loop() {
    while (true) {
      auto [error, socket] = co_await acceptor_.async_accept(kNoThrow);
      if (error) co_return;
      if (cut_) continue;
      auto connection = std::make_shared<ProxiedConnection>(std::move(socket), executor_);
      asio::co_spawn(executor_, connect_upstream(connection), asio::detached);
    }
  }

  asio::awaitable<void> connect_upstream(std::shared_ptr<ProxiedConnection> connection) {
    const auto [error] = co_await connection->upstream.async_connect(target_, kNoThrow);
    if (error) co_return;
    connections_.insert(connection);
    asio::co_spawn(executor_, forward(connection, connection->client, connection->upstream),
                   asio::detached);
    co_await forward(connection, connection->upstream, connection->client);
    connections_.erase(connection);
  }

  asio::awaitable<void> forward(std::shared_ptr<ProxiedConnection> connection, Tcp::socket& from,
                                Tcp::socket& to) {
    std::vector<char> bytes(kCopyBytes);
    while (true) {
      const auto [read_error, count] = co_await from.async_read_some(asio::buffer(bytes), kNoThrow);
      if (read_error) break;
      if (delay_ms_ > 0) {
        asio::steady_timer timer(executor_, std::chrono::milliseconds(delay_ms_));
        co_await timer.async_wait(kNoThrow);
      }
      const auto [write_error, written] =
          co_await asio::async_write(to, asio::buffer(bytes.data(), count), kNoThrow);
      if (write_error) break;
    }
    connection->close();
  }

  asio::awaitable<void> serve_admin(HttpExchange& exchange) {
    json::object body;
    const bool readable = co_await read_admin_body(exchange, body);
    if (!readable) co_return;
    read_flag_field(body, "cut", cut_);
    read_number_field(body, "delay_ms", delay_ms_);
    if (cut_) {
      for (const auto& connection : connections_) connection->close();
    }
    co_await confirm_admin_request(exchange, "link");
  }

  asio::any_io_executor executor_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint target_;
  std::set<std::shared_ptr<ProxiedConnection>> connections_;
  bool cut_ = false;
  std::uint64_t delay_ms_ = 0;
  HttpServer admin_;
};

}  // namespace

std::unique_ptr<EmulatedService> make_link(const asio::any_io_executor& executor,
                                           const std::string& listen, const std::string& target,
                                           const std::string& admin_listen) {
  return std::make_unique<EmulatedLink>(executor, listen, target, admin_listen);
}

}  // namespace stoathold::emulator
