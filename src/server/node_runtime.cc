#include "server/node_runtime.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>
#include <chrono>

#include "base/event_log.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr Duration kMachineReadPeriod = std::chrono::milliseconds(1000);
constexpr Duration kLoadPollPeriod = std::chrono::milliseconds(250);
constexpr Duration kStateCheckPeriod = std::chrono::milliseconds(200);
constexpr Duration kPlatformTimeout = std::chrono::milliseconds(2000);
constexpr Duration kTokenTimeout = std::chrono::seconds(10);

Incarnation incarnation_now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto count = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
  return Incarnation{static_cast<std::uint64_t>(count)};
}

NodeIdentity identity_of(const NodeSettings& settings, const std::string& peer_address) {
  return {settings.name, settings.region, settings.zone, peer_address, incarnation_now()};
}

Knobs knobs_of(const NodeSettings& settings) {
  Knobs knobs;
  knobs.shard_count = settings.job_shards;
  return knobs;
}

std::string batch_body(const OpenStream& effect) {
  json::object message{{"role", "user"}, {"content", effect.prompt}};
  json::object body{{"model", effect.service},
                    {"stream", true},
                    {"max_tokens", effect.max_tokens},
                    {"messages", json::array{message}}};
  return json::serialize(body);
}

/// Accumulates the text of a batch stream.
class TextCollector final : public EngineEventSink {
 public:
  explicit TextCollector(std::string text) : text_(std::move(text)) {}
  asio::awaitable<bool> on_events(std::string_view events, std::uint32_t /*last_token*/) override {
    text_ += text_of_events(events);
    co_return true;
  }
  std::string take() { return std::move(text_); }

 private:
  std::string text_;
};

}  // namespace

NodeRuntime::NodeRuntime(const NodeSettings& settings, const asio::any_io_executor& executor)
    : settings_(settings),
      executor_(executor),
      transport_(executor, settings.peer_listen,
                 [this](const PeerEnvelope& envelope) {
                   Effects effects;
                   core_.on_peer_message(envelope.sender, envelope.message, monotonic_now(),
                                         effects);
                   execute_effects(std::move(effects));
                 }),
      log_(make_http_log_client(executor, settings.log_service, kPlatformTimeout)),
      machine_list_(
          make_http_machine_list_client(executor, settings.machine_list, kPlatformTimeout)),
      engines_(make_http_engine_client(executor)),
      core_(identity_of(settings, transport_.address()), knobs_of(settings),
            value_of(incarnation_now())),
      tick_timer_(asio::make_strand(executor)),
      state_logger_(settings.name) {}

NodeRuntime::~NodeRuntime() = default;

void NodeRuntime::start() {
  transport_.start();
  schedule_tick();
}

void NodeRuntime::schedule_tick() {
  tick_timer_.expires_after(kTickPeriod);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    tick();
    schedule_tick();
  });
}

void NodeRuntime::tick() {
  const TimePoint now = monotonic_now();
  Effects effects;
  core_.tick(now, effects);
  execute_effects(std::move(effects));
  if (now >= next_machine_read_) {
    next_machine_read_ = now + kMachineReadPeriod;
    read_machine_list();
  }
  if (now >= next_load_poll_) {
    next_load_poll_ = now + kLoadPollPeriod;
    poll_loads();
  }
  if (now >= next_state_check_) {
    next_state_check_ = now + kStateCheckPeriod;
    state_logger_.log_changes(core_);
    check_drained();
  }
}

void NodeRuntime::read_machine_list() {
  machine_list_->read([this](MachineListStatus status, const MachineList& list) {
    if (status == MachineListStatus::kChanged) {
      core_.on_machine_list(list.nodes, list.runners);
    } else if (status == MachineListStatus::kUnreadable) {
      log_event(Event::kMachineListUnreadable, {{"peer", settings_.machine_list}});
    }
  });
}

void NodeRuntime::poll_loads() {
  for (const auto& load : core_.batch().owned_loads()) {
    const auto view = core_.runners().find(load.runner);
    if (!view) continue;
    engines_->read_load(view->listed.address, [this, id = load.runner](bool ok, EngineLoad read) {
      if (!ok) return;
      read.load.runner = id;
      Effects effects;
      core_.on_load_report(read.load, monotonic_now(), effects);
      execute_effects(std::move(effects));
    });
  }
}

void NodeRuntime::drain(std::function<void()> drained) {
  asio::post(tick_timer_.get_executor(), [this, drained = std::move(drained)]() mutable {
    if (stopping_.exchange(true)) return;
    drained_ = std::move(drained);
    drain_deadline_ = monotonic_now() + std::chrono::seconds(settings_.drain_seconds);
    log_event(Event::kNodeDraining, {{"node", settings_.name}});
    Effects effects;
    core_.start_drain(monotonic_now(), effects);
    execute_effects(std::move(effects));
  });
}

void NodeRuntime::check_drained() {
  if (!stopping_ || !drained_) return;
  std::size_t open = 0;
  {
    const std::scoped_lock lock(mutex_);
    open = sessions_.size() + calls_.size() + changes_.size();
  }
  const TimePoint now = monotonic_now();
  if ((!core_.drained() || open > 0) && now < drain_deadline_) return;
  Effects effects;
  core_.leave(now, effects);
  execute_effects(std::move(effects));
  auto done = std::exchange(drained_, nullptr);
  done();
}

void NodeRuntime::execute_effects(Effects effects) {
  for (auto& effect : effects) {
    std::visit([this](auto& typed) { perform(typed); }, effect);
  }
}

void NodeRuntime::perform(SendToPeer& effect) {
  transport_.send(effect.address, PeerEnvelope{core_.id(), std::move(effect.message)});
}

void NodeRuntime::perform(AppendToLog& effect) {
  const auto done = [this, stream = effect.stream, token = effect.token](LogStatus status,
                                                                         Offset offset) {
    if (status != LogStatus::kOk) {
      log_event(Event::kLogUnanswered, {{"step", "append"}, {"stream", stream}});
    }
    Effects effects;
    core_.on_log_appended(stream, token, status, offset, monotonic_now(), effects);
    execute_effects(std::move(effects));
  };
  log_->append(effect.stream, std::move(effect.bytes), done);
}

void NodeRuntime::perform(ReadFromLog& effect) {
  const auto done = [this, stream = effect.stream, token = effect.token](
                        LogStatus status, const std::vector<LogEntry>& entries, Offset head) {
    Effects effects;
    core_.on_log_read(stream, token, status, entries, head, monotonic_now(), effects);
    execute_effects(std::move(effects));
  };
  log_->read(effect.stream, effect.from, effect.limit, done);
}

void NodeRuntime::perform(ReadLogHead& effect) {
  const auto done = [this, stream = effect.stream, token = effect.token](LogStatus status,
                                                                         Offset head) {
    Effects effects;
    core_.on_log_head(stream, token, status, head, monotonic_now(), effects);
    execute_effects(std::move(effects));
  };
  log_->head(effect.stream, done);
}

void NodeRuntime::perform(OpenStream& effect) {
  if (effect.stream_class == StreamClass::kOnline) {
    open_online(effect);
  } else {
    open_batch(effect);
  }
}

void NodeRuntime::end_stream(const StreamEnd& end) {
  Effects effects;
  core_.on_stream_ended(end, monotonic_now(), effects);
  execute_effects(std::move(effects));
}

void NodeRuntime::open_online(const OpenStream& effect) {
  std::shared_ptr<OnlineSession> session;
  {
    const std::scoped_lock lock(mutex_);
    const auto found = sessions_.find(effect.request);
    if (found != sessions_.end()) session = found->second;
  }
  if (!session) {
    end_stream({effect.stream, StreamOutcome::kNotSent, effect.resume_tokens, {}});
    return;
  }
  EngineStreamCall call;
  call.stream = effect.stream;
  call.address = effect.address;
  call.body = session->body();
  call.request_name = session->request_name();
  call.resume_tokens = effect.resume_tokens;
  call.first_token_timeout = effect.first_token_timeout;
  call.token_timeout = kTokenTimeout;
  const auto run = [this, session, call = std::move(call)]() -> asio::awaitable<void> {
    session->stream_started();
    const StreamEnd end = co_await engines_->run(call, *session);
    session->stream_ended();
    end_stream(end);
  };
  asio::co_spawn(session->executor(), run, asio::detached);
}

void NodeRuntime::open_batch(const OpenStream& effect) {
  EngineStreamCall call;
  call.stream = effect.stream;
  call.address = effect.address;
  call.body = batch_body(effect);
  call.request_name = to_hex(value_of(effect.stream));
  call.stream_class = StreamClass::kBatch;
  call.resume_tokens = effect.resume_tokens;
  call.first_token_timeout = effect.first_token_timeout;
  call.token_timeout = effect.first_token_timeout;
  const auto run = [this, call = std::move(call),
                    text = effect.resume_text]() -> asio::awaitable<void> {
    TextCollector collector(text);
    StreamEnd end = co_await engines_->run(call, collector);
    end.text = collector.take();
    end_stream(end);
  };
  asio::co_spawn(asio::make_strand(executor_), run, asio::detached);
}

void NodeRuntime::perform(CancelStream& effect) {
  engines_->cancel(effect.stream);
}

void NodeRuntime::perform(FinishRequest& effect) {
  std::shared_ptr<OnlineSession> session;
  {
    const std::scoped_lock lock(mutex_);
    const auto found = sessions_.find(effect.request);
    if (found == sessions_.end()) return;
    session = found->second;
  }
  if (!effect.succeeded) {
    const bool ran = effect.error.execution != Execution::kNotRun;
    log_event(ran ? Event::kRequestFailed : Event::kRequestRefused,
              {{"request", session->request_name()},
               {"error", effect.error.code.message()},
               {"step", std::string(to_string(effect.error.step))},
               {"peer", effect.error.peer}});
  }
  session->finish({effect.succeeded, std::move(effect.error)});
}

void NodeRuntime::perform(AnswerCall& effect) {
  const std::scoped_lock lock(mutex_);
  calls_.answer(effect.call, std::move(effect.answer));
}

void NodeRuntime::perform(AnswerChange& effect) {
  const std::scoped_lock lock(mutex_);
  changes_.answer(effect.call, {effect.accepted, effect.version, std::move(effect.error)});
}

asio::awaitable<void> NodeRuntime::serve_online(HttpExchange& exchange, OnlineRequest request,
                                                std::string body, bool wants_stream,
                                                std::uint32_t resume_tokens) {
  request.id = core_.new_request_id();
  request.delivered_tokens = resume_tokens;
  const auto session = std::make_shared<OnlineSession>(exchange, std::move(body),
                                                       to_hex(value_of(request.id)), wants_stream);
  {
    const std::scoped_lock lock(mutex_);
    sessions_[request.id] = session;
  }
  Effects effects;
  core_.admit(request, monotonic_now(), effects);
  execute_effects(std::move(effects));
  co_await session->run(request.service);
  const std::scoped_lock lock(mutex_);
  sessions_.erase(request.id);
}

asio::awaitable<ShardAnswer> NodeRuntime::call_job(JobId job, ShardRequest request,
                                                   asio::any_io_executor executor) {
  const auto waiter = std::make_shared<OneShot<ShardAnswer>>(std::move(executor));
  Effects effects;
  const auto call = core_.call_job(job, std::move(request), monotonic_now(), effects);
  {
    const std::scoped_lock lock(mutex_);
    calls_.add(call, waiter);
  }
  execute_effects(std::move(effects));
  co_return co_await waiter->wait();
}

asio::awaitable<ChangeOutcome> NodeRuntime::change_resource(ResourceChange change,
                                                            asio::any_io_executor executor) {
  const auto waiter = std::make_shared<OneShot<ChangeOutcome>>(std::move(executor));
  Effects effects;
  const auto call = core_.change_resource(std::move(change), monotonic_now(), effects);
  {
    const std::scoped_lock lock(mutex_);
    changes_.add(call, waiter);
  }
  execute_effects(std::move(effects));
  co_return co_await waiter->wait();
}

}  // namespace stoathold
