#include "ctl/control_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Largest reply of a server.
constexpr std::uint64_t kMaxReplyBytes = 256ULL * 1024 * 1024;
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr Duration kFollowTimeout = std::chrono::seconds(60);

ExitCode exit_code_of(const HttpReply& reply, const json::value& body) {
  if (reply.ok()) return ExitCode::kOk;
  if (reply.progress == HttpProgress::kNotSent) return ExitCode::kUnreachable;
  if (reply.progress == HttpProgress::kSent) return ExitCode::kUnknown;
  boost::system::error_code error;
  const auto* execution = body.find_pointer("/error/execution", error);
  if (execution != nullptr && *execution == "unknown") return ExitCode::kUnknown;
  constexpr int kConflictStatus = 409;
  return reply.status == kConflictStatus ? ExitCode::kConflict : ExitCode::kRefused;
}

std::string message_of(const HttpReply& reply, const json::value& body) {
  if (reply.progress == HttpProgress::kNotSent) return "no connection";
  if (reply.progress == HttpProgress::kSent) return "no answer; the outcome is unknown";
  boost::system::error_code error;
  const auto* message = body.find_pointer("/error/message", error);
  const auto* step = body.find_pointer("/error/step", error);
  if (message == nullptr || !message->is_string()) return "status " + std::to_string(reply.status);
  std::string text(message->get_string());
  if (step != nullptr && step->is_string())
    text += " (step " + std::string(step->get_string()) + ")";
  return text;
}

}  // namespace

struct ControlClient::State {
  std::string server;
  asio::io_context context{1};
};

ControlClient::ControlClient(std::string server) : state_(std::make_unique<State>()) {
  state_->server = std::move(server);
}
ControlClient::~ControlClient() = default;

ControlReply ControlClient::call(const std::string& method, const std::string& target,
                                 const std::string& body, std::vector<HttpHeader> headers) {
  HttpCall call;
  call.address = state_->server;
  call.method = method;
  call.target = target;
  call.body = body;
  call.headers = std::move(headers);
  call.timeout = kCallTimeout;
  call.max_reply_bytes = kMaxReplyBytes;
  HttpReply reply;
  const auto run = [&]() -> asio::awaitable<void> {
    HttpClient client(state_->context.get_executor());
    reply = co_await client.call(call);
  };
  state_->context.restart();
  asio::co_spawn(state_->context, run, asio::detached);
  state_->context.run();
  ControlReply result;
  boost::system::error_code error;
  result.body = json::parse(reply.body, error);
  if (error) result.body = json::string(reply.body);
  result.code = exit_code_of(reply, result.body);
  if (result.code != ExitCode::kOk) {
    result.message = state_->server + ": " + message_of(reply, result.body);
  }
  return result;
}

ExitCode ControlClient::follow(const std::string& target,
                               const std::function<bool(std::string_view)>& on_line) {
  HttpCall call;
  call.address = state_->server;
  call.method = "GET";
  call.target = target;
  call.timeout = kCallTimeout;
  ExitCode code = ExitCode::kUnreachable;
  const auto run = [&]() -> asio::awaitable<void> {
    HttpStream stream(state_->context.get_executor());
    const auto [progress, status] = co_await stream.open(call);
    if (progress == HttpProgress::kNotSent) co_return;
    code = status == 200 ? ExitCode::kOk : ExitCode::kRefused;
    std::string pending;
    std::string_view bytes;
    while (true) {
      const bool more = co_await stream.read(bytes, kFollowTimeout);
      if (!more) break;
      pending.append(bytes);
      std::size_t end = 0;
      while ((end = pending.find('\n')) != std::string::npos) {
        const bool proceed = on_line(std::string_view(pending).substr(0, end));
        pending.erase(0, end + 1);
        if (!proceed) co_return;
      }
    }
  };
  state_->context.restart();
  asio::co_spawn(state_->context, run, asio::detached);
  state_->context.run();
  return code;
}

}  // namespace stoathold
