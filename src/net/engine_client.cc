#include "net/engine_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>
#include <mutex>
#include <unordered_map>

#include "net/event_splitter.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kControlTimeout = std::chrono::seconds(2);

std::uint32_t uint32_field(const json::object& object, std::string_view field) {
  const auto* value = object.if_contains(field);
  if (value == nullptr) return 0;
  boost::system::error_code error;
  const auto number = value->to_number<std::uint32_t>(error);
  return error ? 0 : number;
}

/// An open stream; `cancel` closes it through this object.
struct ActiveStream {
  explicit ActiveStream(const asio::any_io_executor& executor_in)
      : executor(executor_in), http(executor_in) {}
  asio::any_io_executor executor;
  HttpStream http;
  bool cancelled = false;
};

class HttpEngineClient final : public EngineClient {
 public:
  explicit HttpEngineClient(const asio::any_io_executor& executor)
      : executor_(executor), client_(std::make_shared<HttpClient>(executor)) {}

  asio::awaitable<StreamEnd> run(EngineStreamCall call, EngineEventSink& sink) override {
    auto active = std::make_shared<ActiveStream>(co_await asio::this_coro::executor);
    {
      const std::scoped_lock lock(mutex_);
      active_streams_[call.stream] = active;
    }
    StreamEnd end;
    end.stream = call.stream;
    end.tokens = call.resume_tokens;
    end.outcome = co_await transfer(*active, call, sink, end.tokens);
    if (active->cancelled) end.outcome = StreamOutcome::kCancelled;
    const std::scoped_lock lock(mutex_);
    active_streams_.erase(call.stream);
    co_return end;
  }

  void cancel(StreamId stream) override {
    std::shared_ptr<ActiveStream> active;
    {
      const std::scoped_lock lock(mutex_);
      const auto found = active_streams_.find(stream);
      if (found == active_streams_.end()) return;
      active = found->second;
    }
    asio::post(active->executor, [active] {
      active->cancelled = true;
      active->http.close();
    });
  }

  void read_load(const std::string& address, LoadDone done) override {
    HttpCall call;
    call.address = address;
    call.method = "GET";
    call.target = "/v1/load";
    call.timeout = kControlTimeout;
    asio::co_spawn(asio::make_strand(executor_),
                   run_load(client_, std::move(call), std::move(done)), asio::detached);
  }

  void order_model(const std::string& address, Epoch epoch, const std::string& model,
                   const std::string& version, OrderDone done) override {
    HttpCall call;
    call.address = address;
    call.method = "POST";
    call.target = "/v1/orders";
    call.timeout = kControlTimeout;
    call.body = json::serialize(
        json::object{{"epoch", value_of(epoch)}, {"model", model}, {"version", version}});
    asio::co_spawn(asio::make_strand(executor_),
                   run_order(client_, std::move(call), std::move(done)), asio::detached);
  }

 private:
  static HttpCall http_call(const EngineStreamCall& call) {
    HttpCall http;
    http.address = call.address;
    http.method = "POST";
    http.target = "/v1/chat/completions";
    http.body = call.body;
    http.timeout = call.first_token_timeout;
    const bool online = call.stream_class == StreamClass::kOnline;
    http.headers = {{kEnginePriorityHeader, online ? "online" : "batch"},
                    {kEngineResumeHeader, std::to_string(call.resume_tokens)},
                    {kEngineRequestHeader, call.request_name}};
    return http;
  }

  static asio::awaitable<StreamOutcome> transfer(ActiveStream& active, const EngineStreamCall& call,
                                                 EngineEventSink& sink, std::uint32_t& tokens) {
    const auto [progress, status] = co_await active.http.open(http_call(call));
    if (progress == HttpProgress::kNotSent) co_return StreamOutcome::kNotSent;
    if (progress != HttpProgress::kAnswered) co_return StreamOutcome::kBroken;
    if (status != 200) co_return StreamOutcome::kRefused;
    EventSplitter splitter(call.resume_tokens);
    std::string_view bytes;
    Duration read_timeout = call.first_token_timeout;
    while (true) {
      const bool more = co_await active.http.read(bytes, read_timeout);
      if (!more) break;
      const SplitStatus split = splitter.feed(bytes);
      if (split != SplitStatus::kOk) co_return StreamOutcome::kBroken;
      tokens = splitter.last_token();
      if (!splitter.events().empty()) {
        const bool keep_reading = co_await sink.on_events(splitter.events(), tokens);
        if (!keep_reading) co_return StreamOutcome::kCancelled;
        read_timeout = call.token_timeout;
      }
      if (splitter.finished()) co_return StreamOutcome::kCompleted;
    }
    co_return StreamOutcome::kBroken;
  }

  static asio::awaitable<void> run_load(std::shared_ptr<HttpClient> client, HttpCall call,
                                        LoadDone done) {
    const HttpReply reply = co_await client->call(std::move(call));
    EngineLoad load;
    boost::system::error_code error;
    const auto value = json::parse(reply.body, error);
    const bool ok = reply.ok() && !error && value.is_object();
    if (ok) {
      const auto& object = value.get_object();
      load.load.online_streams = uint32_field(object, "online_streams");
      load.load.batch_streams = uint32_field(object, "batch_streams");
      load.load.queued = uint32_field(object, "online_queued");
      load.load.leaving = uint32_field(object, "leaving") != 0 ? 1 : 0;
      load.cache_sequence = uint32_field(object, "cache_sequence");
    }
    done(ok, load);
  }

  static asio::awaitable<void> run_order(std::shared_ptr<HttpClient> client, HttpCall call,
                                         OrderDone done) {
    const HttpReply reply = co_await client->call(std::move(call));
    done(reply.ok());
  }

  asio::any_io_executor executor_;
  std::shared_ptr<HttpClient> client_;
  std::mutex mutex_;
  std::unordered_map<StreamId, std::shared_ptr<ActiveStream>> active_streams_;
};

}  // namespace

std::unique_ptr<EngineClient> make_http_engine_client(const asio::any_io_executor& executor) {
  return std::make_unique<HttpEngineClient>(executor);
}

}  // namespace stoathold
