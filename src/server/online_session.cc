#include "server/online_session.h"

#include <boost/json.hpp>

#include "base/timer.h"
#include "net/event_splitter.h"
#include "server/error_response.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kEventStream = "text/event-stream";

std::string delta_content(std::string_view data) {
  boost::system::error_code error;
  const auto value = json::parse(json::string_view(data.data(), data.size()), error);
  if (error) return {};
  const auto* content = value.find_pointer("/choices/0/delta/content", error);
  return content != nullptr && content->is_string() ? std::string(content->get_string())
                                                    : std::string();
}

}  // namespace

std::string text_of_events(std::string_view events) {
  std::string text;
  std::size_t position = 0;
  while ((position = events.find(kDataField, position)) != std::string_view::npos) {
    const std::size_t begin = position + kDataField.size();
    const std::size_t end = events.find('\n', begin);
    text += delta_content(events.substr(begin, end - begin));
    if (end == std::string_view::npos) break;
    position = end;
  }
  return text;
}

OnlineSession::OnlineSession(HttpExchange& exchange, std::string body, std::string request_name,
                             bool wants_stream)
    : exchange_(exchange),
      body_(std::move(body)),
      request_name_(std::move(request_name)),
      wants_stream_(wants_stream),
      outcome_(std::make_shared<OneShot<SessionOutcome>>(exchange.executor())),
      streams_ended_timer_(exchange.executor(), Timer::time_point::max()) {}

asio::awaitable<bool> OnlineSession::on_events(std::string_view events,
                                               std::uint32_t /*last_token*/) {
  if (closed_) co_return false;
  if (!wants_stream_) {
    buffered_events_.append(events);
    co_return true;
  }
  if (!head_sent_) {
    head_sent_ = true;
    const bool started = co_await exchange_.start_stream(kEventStream);
    if (!started) co_return false;
  }
  const bool written = co_await exchange_.write(events);
  co_return written;
}

void OnlineSession::stream_ended() {
  if (--streams_ == 0) streams_ended_timer_.cancel();
}

asio::awaitable<void> OnlineSession::run(const std::string& model) {
  const SessionOutcome outcome = co_await outcome_->wait();
  closed_ = true;
  while (streams_ > 0)
    co_await streams_ended_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  if (wants_stream_ && (head_sent_ || outcome.succeeded)) {
    co_await write_stream_end(outcome);
  } else {
    co_await write_complete_response(outcome, model);
  }
}

asio::awaitable<void> OnlineSession::write_stream_end(const SessionOutcome& outcome) {
  if (!head_sent_) {
    const bool started = co_await exchange_.start_stream(kEventStream);
    if (!started) co_return;
  }
  if (outcome.succeeded) {
    const bool written = co_await exchange_.write(kEndEvent);
    if (!written) co_return;
  } else {
    const std::string event = "event: error\ndata: " + error_response_body(outcome.error) + "\n\n";
    const bool written = co_await exchange_.write(event);
    if (!written) co_return;
  }
  co_await exchange_.finish_stream();
}

asio::awaitable<void> OnlineSession::write_complete_response(const SessionOutcome& outcome,
                                                             const std::string& model) {
  if (!outcome.succeeded) {
    co_await send_error_response(exchange_, outcome.error);
    co_return;
  }
  json::object message{{"role", "assistant"}, {"content", text_of_events(buffered_events_)}};
  json::object choice{{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
  json::object answer{{"id", "chatcmpl-" + request_name_},
                      {"object", "chat.completion"},
                      {"model", model},
                      {"choices", json::array{choice}}};
  co_await exchange_.respond(200, "application/json", json::serialize(answer));
}

}  // namespace stoathold
