#include "fuzz/simulated_cluster.h"

#include <algorithm>
#include <utility>

namespace stoathold::fuzz {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
constexpr Duration kPlatformPollPeriod = std::chrono::milliseconds(250);
constexpr Duration kTokenTimeout = std::chrono::seconds(5);
constexpr Duration kLeavingGrace = std::chrono::milliseconds(3000);
/// Lag of the machine list, the only source for leaving runners that their nodes cannot report.
constexpr Duration kMachineListLag = std::chrono::milliseconds(5000);
constexpr Duration kDrainTimeout = std::chrono::seconds(30);
constexpr Duration kQuiescenceStep = std::chrono::seconds(1);
constexpr int kQuiescenceSteps = 150;
constexpr std::uint32_t kShards = 4;
constexpr std::uint32_t kItemTokens = 6;
constexpr std::uint64_t kUnsafeTokens = 5;
const std::string kService = "assistant";
const std::string kTenant = "tenant";

std::string node_name(std::size_t index) {
  return "node-" + std::to_string(index);
}
std::string engine_name(std::size_t index) {
  return "runner-" + std::to_string(index);
}

std::string service_body(std::uint32_t slots) {
  return R"({"model":"base","runner_slots":)" + std::to_string(slots) +
         R"(,"first_token_timeout_ms":1000})";
}

}  // namespace

SimulatedCluster::SimulatedCluster(std::uint64_t seed, ClusterSize size)
    : random_(seed), log_(events_, random_) {
  knobs_.shard_count = kShards;
  knobs_.snapshot_interval = 20;
  knobs_.items_per_record = 4;
  knobs_.max_recent_configuration_entries = 2;
  nodes_.resize(size.nodes);
  for (std::size_t i = 0; i < size.engines; ++i) {
    Engine engine;
    engine.engine = std::make_unique<SimulatedEngine>(engine_name(i), size.slots, events_, random_);
    engine.zone = "zone-" + std::to_string(i % size.zones);
    engines_.push_back(std::move(engine));
  }
  for (std::size_t i = 0; i < size.nodes; ++i) {
    nodes_[i].zone = "zone-" + std::to_string(i % size.zones);
    start_node(i);
  }
  run_for(std::chrono::seconds(4));
  change(0, 0, 0, size.slots);
  run_for(std::chrono::seconds(4));
}

SimulatedCluster::~SimulatedCluster() = default;

JobId SimulatedCluster::job_id(std::uint64_t key) {
  return job_id_from_key(kTenant, std::to_string(key));
}

void SimulatedCluster::run_for(Duration duration) {
  events_.run_until(events_.now() + duration);
}

// ---- nodes -------------------------------------------------------------------------------------

void SimulatedCluster::start_node(std::size_t index) {
  auto& node = nodes_[index];
  node.start = ++last_start_;
  node.frozen = false;
  node.draining = false;
  node.disrupted_at = events_.now();
  node.deferred.clear();
  const NodeIdentity identity{node_name(index), "region", node.zone, node_name(index),
                              Incarnation{node.start}};
  node.core = std::make_unique<NodeCore>(identity, knobs_, random_.next());
  deliver_machine_list(index);
  schedule_tick(index, node.start);
  schedule_platform_poll(index, node.start);
}

/// Runs an action on a node: deferred while the node is frozen, dropped if it crashed or restarted
/// since `start`.
void SimulatedCluster::on_node(std::size_t index, std::uint64_t start,
                               std::function<void()> action) {
  auto& node = nodes_[index];
  if (!node.core || node.start != start) return;
  if (node.frozen) {
    node.deferred.push_back(std::move(action));
  } else {
    action();
  }
}

void SimulatedCluster::schedule_tick(std::size_t index, std::uint64_t start) {
  events_.after(kTickPeriod, [this, index, start] {
    on_node(index, start, [this, index, start] {
      Effects effects;
      nodes_[index].core->tick(events_.now(), effects);
      execute_effects(index, std::move(effects));
      schedule_tick(index, start);
    });
  });
}

void SimulatedCluster::deliver_machine_list(std::size_t index) {
  std::vector<ListedNode> nodes;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes.push_back({node_name(i), "region", nodes_[i].zone, node_name(i), false});
  }
  std::vector<ListedRunner> runners;
  for (const auto& engine : engines_) {
    const auto& name = engine.engine->name();
    const bool listed_leaving =
        engine.leaving_since && events_.now() - *engine.leaving_since >= kMachineListLag;
    runners.push_back({name, "region", engine.zone, name, kService, listed_leaving});
  }
  nodes_[index].core->on_machine_list(nodes, runners);
}

void SimulatedCluster::schedule_platform_poll(std::size_t index, std::uint64_t start) {
  events_.after(kPlatformPollPeriod, [this, index, start] {
    on_node(index, start, [this, index, start] {
      read_configuration(index);
      deliver_machine_list(index);
      for (const auto& owned : nodes_[index].core->batch().owned_loads()) {
        for (auto& engine : engines_) {
          const bool same = runner_id_from_name(engine.engine->name()) == owned.runner;
          const auto& faults = engine.engine->faults();
          if (!same || faults.down || faults.frozen) continue;
          Effects effects;
          nodes_[index].core->on_load_report(engine.engine->load(), events_.now(), effects);
          execute_effects(index, std::move(effects));
        }
      }
      schedule_platform_poll(index, start);
    });
  });
}

void SimulatedCluster::read_configuration(std::size_t index) {
  const auto& node = nodes_[index];
  if (!node.core->readiness().ready) return;
  for (const auto& resource : node.core->configuration().list("")) {
    oracle_.resource_read(node.start, resource.kind + "/" + resource.name,
                          value_of(resource.version));
  }
}

void SimulatedCluster::break_connections(std::size_t index) {
  auto& node = nodes_[index];
  for (auto& [id, session] : std::exchange(node.sessions, {})) {
    oracle_.online_ended(session.call, CallOutcome::kUnknown, "", "");
  }
  for (const auto& [call, job] : std::exchange(node.job_calls, {})) {
    if (job.kind == JobCall::Kind::kSubmit) oracle_.submit_ended(job.key, CallOutcome::kUnknown, 0);
    if (job.kind == JobCall::Kind::kCancel) oracle_.cancel_ended(job.key, CallOutcome::kUnknown, 0);
  }
  node.change_calls.clear();
}

void SimulatedCluster::close_streams(std::size_t index) {
  for (auto& [id, stream] : std::exchange(nodes_[index].streams, {})) {
    engines_[stream.engine].engine->close(stream.global);
  }
}

void SimulatedCluster::crash(std::size_t node) {
  const std::size_t index = node % nodes_.size();
  if (!nodes_[index].core) return;
  break_connections(index);
  close_streams(index);
  nodes_[index].core.reset();
  nodes_[index].deferred.clear();
}

void SimulatedCluster::restart(std::size_t node) {
  const std::size_t index = node % nodes_.size();
  if (nodes_[index].core) return;
  start_node(index);
}

void SimulatedCluster::freeze(std::size_t node) {
  const std::size_t index = node % nodes_.size();
  if (!nodes_[index].core || nodes_[index].frozen) return;
  nodes_[index].frozen = true;
}

void SimulatedCluster::unfreeze(std::size_t node) {
  const std::size_t index = node % nodes_.size();
  auto& target = nodes_[index];
  if (!target.core || !target.frozen) return;
  target.frozen = false;
  target.disrupted_at = events_.now();
  const std::uint64_t start = target.start;
  auto deferred = std::exchange(target.deferred, {});
  for (auto& action : deferred) on_node(index, start, std::move(action));
}

void SimulatedCluster::drain(std::size_t node) {
  const std::size_t index = node % nodes_.size();
  auto& target = nodes_[index];
  if (!is_serving(index) || target.draining) return;
  target.draining = true;
  Effects effects;
  target.core->start_drain(events_.now(), effects);
  execute_effects(index, std::move(effects));
  const std::uint64_t start = target.start;
  check_drained(index, start);
  events_.after(kDrainTimeout,
                [this, index, start] { on_node(index, start, [this, index] { crash(index); }); });
}

void SimulatedCluster::check_drained(std::size_t index, std::uint64_t start) {
  on_node(index, start, [this, index, start] {
    auto& node = nodes_[index];
    if (!node.core->drained()) {
      events_.after(kTickPeriod, [this, index, start] { check_drained(index, start); });
      return;
    }
    Effects effects;
    node.core->leave(events_.now(), effects);
    execute_effects(index, std::move(effects));
    for (const auto& [id, session] : node.sessions) {
      oracle_.connection_lost_in_planned_shutdown(session.call);
    }
    break_connections(index);
    close_streams(index);
    node.core.reset();
    node.deferred.clear();
  });
}

void SimulatedCluster::cut(std::size_t from, std::size_t to, bool both_ways) {
  const std::size_t left = from % nodes_.size();
  const std::size_t right = to % nodes_.size();
  if (left == right) return;
  cut_links_.insert({left, right});
  if (both_ways) cut_links_.insert({right, left});
}

void SimulatedCluster::heal_links() {
  cut_links_.clear();
}

void SimulatedCluster::set_leaving(std::size_t index, bool leaving) {
  auto& engine = engines_[index % engines_.size()];
  engine.engine->faults().leaving = leaving;
  if (!leaving) {
    engine.leaving_since.reset();
  } else if (!engine.leaving_since) {
    engine.leaving_since = events_.now();
  }
}

std::optional<std::size_t> SimulatedCluster::index_of(const std::string& address) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (node_name(i) == address) return i;
  }
  return std::nullopt;
}

// ---- effects -----------------------------------------------------------------------------------

void SimulatedCluster::execute_effects(std::size_t index, Effects effects) {
  const std::uint64_t start = nodes_[index].start;
  for (auto& effect : effects) {
    if (!nodes_[index].core || nodes_[index].start != start) return;
    std::visit([&](auto& typed) { execute_effect(index, typed); }, effect);
  }
}

void SimulatedCluster::execute_effect(std::size_t index, SendToPeer& effect) {
  const auto target = index_of(effect.address);
  if (!target || cut_links_.contains({index, *target})) return;
  const NodeId sender = node_id_from_name(node_name(index));
  Duration delay{500 + random_.below(3000)};
  if (reorder_) {
    const bool straggler = random_.below(8) == 0;
    delay += Duration{random_.below(straggler ? 4'000'000 : 300'000)};
  } else {
    auto& busy_until = link_busy_until_[{index, *target}];
    busy_until = std::max(busy_until, events_.now() + delay);
    delay = busy_until - events_.now();
  }
  events_.after(delay, [this, to = *target, sender, message = std::move(effect.message)] {
    if (!nodes_[to].core) return;
    on_node(to, nodes_[to].start, [this, to, sender, message] {
      Effects effects;
      nodes_[to].core->on_peer_message(sender, message, events_.now(), effects);
      execute_effects(to, std::move(effects));
    });
  });
}

void SimulatedCluster::execute_effect(std::size_t index, AppendToLog& effect) {
  const std::uint64_t start = nodes_[index].start;
  log_.append(index, effect.stream, effect.bytes,
              [this, index, start, stream = effect.stream, token = effect.token](LogStatus status,
                                                                                 Offset offset) {
                on_node(index, start, [=, this] {
                  Effects effects;
                  nodes_[index].core->on_log_appended(stream, token, status, offset, events_.now(),
                                                      effects);
                  execute_effects(index, std::move(effects));
                });
              });
}

void SimulatedCluster::execute_effect(std::size_t index, ReadFromLog& effect) {
  const std::uint64_t start = nodes_[index].start;
  log_.read(index, effect.stream, effect.from, effect.limit,
            [this, index, start, stream = effect.stream, token = effect.token](
                LogStatus status, const std::vector<LogEntry>& entries, Offset head) {
              on_node(index, start, [=, this] {
                Effects effects;
                nodes_[index].core->on_log_read(stream, token, status, entries, head, events_.now(),
                                                effects);
                execute_effects(index, std::move(effects));
              });
            });
}

void SimulatedCluster::execute_effect(std::size_t index, ReadLogHead& effect) {
  const std::uint64_t start = nodes_[index].start;
  log_.head(index, effect.stream,
            [this, index, start, stream = effect.stream, token = effect.token](LogStatus status,
                                                                               Offset head) {
              on_node(index, start, [=, this] {
                Effects effects;
                nodes_[index].core->on_log_head(stream, token, status, head, events_.now(),
                                                effects);
                execute_effects(index, std::move(effects));
              });
            });
}

void SimulatedCluster::check_leaving(std::size_t index, std::size_t engine) {
  const auto& since = engines_[engine].leaving_since;
  if (!since) return;
  const auto recently_disrupted = [&](const Node& node) {
    return !node.core || node.frozen || events_.now() - node.disrupted_at < kMachineListLag;
  };
  // A frozen engine cannot report that it is leaving; only the machine list shows it.
  const bool engine_responds = !engines_[engine].engine->faults().frozen;
  const bool undisturbed = engine_responds && cut_links_.empty() && !reorder_ &&
                           std::none_of(nodes_.begin(), nodes_.end(), recently_disrupted);
  const Duration grace = undisturbed ? kLeavingGrace : kLeavingGrace + kMachineListLag;
  if (events_.now() - *since < grace) return;
  if (events_.now() - nodes_[index].disrupted_at < kLeavingGrace) return;
  oracle_.leaving_runner_received_work(engines_[engine].engine->name());
}

void SimulatedCluster::execute_effect(std::size_t index, OpenStream& effect) {
  auto& node = nodes_[index];
  std::size_t engine = 0;
  while (engine < engines_.size() && engines_[engine].engine->name() != effect.address) ++engine;
  OpenNodeStream open;
  open.engine = engine;
  open.global = ++last_stream_;
  open.splitter = std::make_unique<EventSplitter>(effect.resume_tokens);
  open.request = effect.request;
  open.online = effect.stream_class == StreamClass::kOnline;
  open.text = effect.resume_text;
  open.marker = "run-" + std::to_string(++last_execution_);
  open.token_timeout = open.online ? kTokenTimeout : effect.first_token_timeout;
  EngineWork work;
  work.online = open.online;
  work.resume = effect.resume_tokens;
  std::optional<CallerSession> session;
  if (open.online) {
    const auto found = node.sessions.find(effect.request);
    if (found == node.sessions.end()) {
      end_stream(index, effect.stream, StreamOutcome::kNotSent);
      return;
    }
    session = found->second;
    work.fingerprint = session->fingerprint;
    work.tokens = session->tokens;
  } else {
    work.fingerprint = stable_hash(effect.prompt);
    work.tokens = effect.max_tokens;
  }
  node.streams[effect.stream] = std::move(open);
  const std::uint64_t start = node.start;
  const StreamId stream = effect.stream;
  const auto immediate_outcome = engines_[engine].engine->open(
      last_stream_, work, [this, index, start, stream](const std::string& bytes, bool ended) {
        on_node(index, start, [=, this] { deliver(index, stream, bytes, ended); });
      });
  const bool ran = !immediate_outcome;
  if (ran && session) {
    oracle_.engine_started_online(session->call, session->work);
    check_leaving(index, engine);
  }
  if (immediate_outcome) {
    events_.after(Duration{1000}, [this, index, start, stream, outcome = *immediate_outcome] {
      on_node(index, start, [=, this] { end_stream(index, stream, outcome); });
    });
    return;
  }
  watch_stream(index, start, stream, 0, effect.first_token_timeout);
}

/// Ends a stream that made no progress for `timeout`.
void SimulatedCluster::watch_stream(std::size_t index, std::uint64_t start, StreamId stream,
                                    std::uint64_t progress, Duration timeout) {
  events_.after(timeout, [this, index, start, stream, progress] {
    on_node(index, start, [=, this] {
      auto& streams = nodes_[index].streams;
      const auto found = streams.find(stream);
      if (found == streams.end()) return;
      if (found->second.progress != progress) {
        watch_stream(index, start, stream, found->second.progress, found->second.token_timeout);
        return;
      }
      end_stream(index, stream, StreamOutcome::kBroken);
    });
  });
}

void SimulatedCluster::deliver(std::size_t index, StreamId stream, const std::string& bytes,
                               bool ended) {
  auto& node = nodes_[index];
  const auto found = node.streams.find(stream);
  if (found == node.streams.end()) return;
  auto& open = found->second;
  ++open.progress;
  const SplitStatus status = open.splitter->feed(bytes);
  if (status != SplitStatus::kOk) {
    end_stream(index, stream, StreamOutcome::kBroken);
    return;
  }
  if (open.online) {
    if (const auto session = node.sessions.find(open.request); session != node.sessions.end()) {
      std::string_view events = open.splitter->events();
      std::size_t at = 0;
      while ((at = events.find("data: ", at)) != std::string_view::npos) {
        const std::size_t end = events.find("\n\n", at);
        session->second.received += events.substr(at + 6, end - at - 6);
        at = end;
      }
    }
  }
  if (open.splitter->finished()) {
    end_stream(index, stream, StreamOutcome::kCompleted);
  } else if (ended) {
    end_stream(index, stream, StreamOutcome::kBroken);
  }
}

void SimulatedCluster::end_stream(std::size_t index, StreamId stream, StreamOutcome outcome) {
  auto& node = nodes_[index];
  StreamEnd end;
  end.stream = stream;
  end.outcome = outcome;
  if (auto open = node.streams.extract(stream); !open.empty()) {
    engines_[open.mapped().engine].engine->close(open.mapped().global);
    end.tokens = open.mapped().splitter->last_token();
    if (!open.mapped().online) end.text = open.mapped().text + open.mapped().marker + ";";
  }
  Effects effects;
  node.core->on_stream_ended(end, events_.now(), effects);
  execute_effects(index, std::move(effects));
}

void SimulatedCluster::execute_effect(std::size_t index, CancelStream& effect) {
  const std::uint64_t start = nodes_[index].start;
  events_.after(Duration{500}, [this, index, start, stream = effect.stream] {
    on_node(index, start, [=, this] {
      if (nodes_[index].streams.contains(stream)) {
        end_stream(index, stream, StreamOutcome::kCancelled);
      }
    });
  });
}

void SimulatedCluster::execute_effect(std::size_t index, FinishRequest& effect) {
  auto node = nodes_[index].sessions.extract(effect.request);
  if (node.empty()) return;
  const auto& session = node.mapped();
  CallOutcome outcome = CallOutcome::kOk;
  if (!effect.succeeded) {
    outcome =
        effect.error.execution == Execution::kNotRun ? CallOutcome::kNotRun : CallOutcome::kUnknown;
  }
  oracle_.online_ended(session.call, outcome, session.received,
                       simulated_response(session.fingerprint, session.tokens));
}

void SimulatedCluster::execute_effect(std::size_t index, AnswerCall& effect) {
  auto node = nodes_[index].job_calls.extract(effect.call);
  if (node.empty()) return;
  const JobCall call = node.mapped();
  const auto* failure = std::get_if<CallFailure>(&effect.answer);
  const bool not_run =
      failure != nullptr && failure->execution == static_cast<std::uint8_t>(Execution::kNotRun);
  const CallOutcome outcome = failure == nullptr
                                  ? CallOutcome::kOk
                                  : (not_run ? CallOutcome::kNotRun : CallOutcome::kUnknown);
  const auto* status = std::get_if<JobStatus>(&effect.answer);
  const bool missing =
      failure != nullptr && failure->code == static_cast<int>(ErrorCode::kNotFound);
  auto& final_read = final_reads_[call.key];
  switch (call.kind) {
    case JobCall::Kind::kSubmit:
      oracle_.submit_ended(call.key, outcome, status != nullptr ? value_of(status->job) : 0);
      break;
    case JobCall::Kind::kCancel:
      oracle_.cancel_ended(call.key, outcome, status != nullptr ? status->completed_count : 0);
      break;
    case JobCall::Kind::kStatus:
      if (running_final_checks_ && (status != nullptr || missing)) {
        final_read.answered = true;
        final_read.found = status != nullptr;
        if (status != nullptr) final_read.status = *status;
      } else if (status != nullptr) {
        oracle_.status_read(call.key, call.start, true, status->completed_count, status->cancelled);
      } else if (missing) {
        oracle_.status_read(call.key, call.start, false, 0, false);
      }
      break;
    case JobCall::Kind::kResults:
      if (const auto* page = std::get_if<JobResults>(&effect.answer)) {
        for (const auto& result : page->results) {
          if (running_final_checks_) {
            final_read.results[result.index] = result.text;
          } else {
            oracle_.result_read(call.key, result.index, result.text);
          }
        }
        final_read.next_index = page->next_index;
        final_read.complete = page->next_index >= page->item_count;
      }
      break;
  }
}

void SimulatedCluster::execute_effect(std::size_t index, AnswerChange& effect) {
  auto node = nodes_[index].change_calls.extract(effect.call);
  if (node.empty()) return;
  const auto& change = node.mapped();
  const bool conflict = effect.error.code == make_error_code(ErrorCode::kConflict);
  const CallOutcome outcome = effect.accepted ? CallOutcome::kOk : CallOutcome::kUnknown;
  oracle_.change_ended(change.resource, change.expected, outcome, conflict,
                       value_of(effect.version), change.body);
}

// ---- client and operator calls -----------------------------------------------------------------

void SimulatedCluster::admit(std::size_t node, CallerSession session, OnlineRequest request) {
  const std::size_t index = node % nodes_.size();
  if (!is_serving(index)) return;
  session.call = ++last_call_;
  oracle_.online_started(session.call, session.work == 0 ? session.call : session.work,
                         session.unsafe);
  if (session.work == 0) session.work = session.call;
  request.id = nodes_[index].core->new_request_id();
  request.tenant = kTenant;
  request.service = kService;
  request.prefix = session.fingerprint;
  nodes_[index].sessions[request.id] = session;
  Effects effects;
  nodes_[index].core->admit(request, events_.now(), effects);
  execute_effects(index, std::move(effects));
}

void SimulatedCluster::online(std::size_t node, std::uint32_t tokens, Duration deadline) {
  CallerSession session;
  session.fingerprint = random_.next();
  session.tokens = tokens;
  OnlineRequest request;
  request.deadline = deadline;
  admit(node, session, request);
}

void SimulatedCluster::unsafe_online(std::size_t node, std::uint64_t key) {
  CallerSession session;
  session.unsafe = true;
  session.work = (1ULL << 40U) + key;
  session.fingerprint = mix_hashes(key, key);
  session.tokens = kUnsafeTokens;
  OnlineRequest request;
  request.unsafe_to_repeat = true;
  request.idempotency_key = std::to_string(key);
  request.deadline = std::chrono::seconds(20);
  admit(node, session, request);
}

void SimulatedCluster::unsafe_online_unkeyed(std::size_t node) {
  CallerSession session;
  session.unsafe = true;
  session.fingerprint = random_.next();
  session.tokens = kUnsafeTokens;
  OnlineRequest request;
  request.unsafe_to_repeat = true;
  admit(node, session, request);
}

void SimulatedCluster::start_job_call(std::size_t index, std::uint64_t key, JobCall::Kind kind,
                                      ShardRequest request) {
  Effects effects;
  const auto call =
      nodes_[index].core->call_job(job_id(key), std::move(request), events_.now(), effects);
  nodes_[index].job_calls[call] = {key, kind, oracle_.read_started(key)};
  execute_effects(index, std::move(effects));
}

void SimulatedCluster::submit(std::size_t node, std::uint64_t key, std::uint32_t items) {
  const std::size_t index = node % nodes_.size();
  if (!is_serving(index) || !nodes_[index].core->readiness().ready) return;
  oracle_.submit_started(key, items);
  SubmitJobCall call;
  call.job = job_id(key);
  call.specification = {kTenant, kService, "drafts", 0};
  for (std::uint32_t i = 0; i < items; ++i) {
    const std::string name = std::to_string(key) + "/" + std::to_string(i);
    call.items.push_back({name, name, kItemTokens});
  }
  start_job_call(index, key, JobCall::Kind::kSubmit, std::move(call));
}

void SimulatedCluster::cancel(std::size_t node, std::uint64_t key) {
  const std::size_t index = node % nodes_.size();
  const auto keys = oracle_.job_keys();
  if (!is_serving(index) || std::find(keys.begin(), keys.end(), key) == keys.end()) return;
  oracle_.cancel_started(key);
  start_job_call(index, key, JobCall::Kind::kCancel, CancelJobCall{job_id(key)});
}

void SimulatedCluster::read_status(std::size_t node, std::uint64_t key) {
  const std::size_t index = node % nodes_.size();
  const auto keys = oracle_.job_keys();
  if (!is_serving(index) || std::find(keys.begin(), keys.end(), key) == keys.end()) return;
  for (const auto& [call, job] : nodes_[index].job_calls) {
    if (job.key == key && job.kind == JobCall::Kind::kStatus) return;
  }
  start_job_call(index, key, JobCall::Kind::kStatus, JobStatusCall{job_id(key)});
}

void SimulatedCluster::read_results(std::size_t node, std::uint64_t key) {
  const std::size_t index = node % nodes_.size();
  const auto keys = oracle_.job_keys();
  if (!is_serving(index) || std::find(keys.begin(), keys.end(), key) == keys.end()) return;
  const std::uint32_t first = running_final_checks_ ? final_reads_[key].next_index : 0;
  start_job_call(index, key, JobCall::Kind::kResults, JobResultsCall{job_id(key), first, 100});
}

void SimulatedCluster::change(std::size_t node, std::uint64_t resource,
                              std::optional<std::uint64_t> version, std::uint32_t slots) {
  const std::size_t index = node % nodes_.size();
  if (!is_serving(index)) return;
  auto& target = nodes_[index];
  ResourceChange change;
  change.kind = std::string(kServiceKind);
  change.name = resource == 0 ? kService : "other-" + std::to_string(resource);
  change.body = service_body(slots);
  const auto current = target.core->configuration().find(change.kind, change.name);
  const std::uint64_t current_version = current ? value_of(current->version) : 0;
  change.expected_version = Offset{version.value_or(current_version)};
  const ChangeCall call{change.kind + "/" + change.name, value_of(change.expected_version),
                        change.body};
  Effects effects;
  const auto id = target.core->change_resource(std::move(change), events_.now(), effects);
  target.change_calls[id] = call;
  execute_effects(index, std::move(effects));
}

// ---- final checks ------------------------------------------------------------------------------

bool SimulatedCluster::is_idle() const {
  for (const auto& node : nodes_) {
    if (!node.core) continue;
    if (!node.sessions.empty() || !node.job_calls.empty() || !node.change_calls.empty()) {
      return false;
    }
    if (!node.core->batch().idle() || !node.core->shards().pending().empty()) return false;
  }
  return true;
}

void SimulatedCluster::finish() {
  log_.faults() = {};
  heal_links();
  set_reorder(false);
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    engines_[i].engine->faults() = {};
    engines_[i].leaving_since.reset();
    engines_[i].engine->apply_faults();
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    unfreeze(i);
    restart(i);
  }
  run_for(std::chrono::seconds(12));
  for (int step = 0; step < kQuiescenceSteps && !is_idle(); ++step) run_for(kQuiescenceStep);
  for (std::size_t i = 0; i < nodes_.size(); ++i) restart(i);
  run_for(std::chrono::seconds(8));
  check_jobs_at_end();
  check_configuration_at_end();
}

void SimulatedCluster::check_jobs_at_end() {
  running_final_checks_ = true;
  final_reads_.clear();
  const auto keys = oracle_.job_keys();
  constexpr int kAttempts = 40;
  for (const std::uint64_t key : keys) {
    for (int i = 0; i < kAttempts && !final_reads_[key].answered; ++i) {
      read_status(random_.next(), key);
      run_for(std::chrono::milliseconds(300));
    }
    auto& read = final_reads_[key];
    for (int i = 0; i < kAttempts && read.found && !read.complete; ++i) {
      read_results(random_.next(), key);
      run_for(std::chrono::milliseconds(300));
    }
    oracle_.check_job_at_end(key, read.found, read.status.cancelled, read.status.completed_count,
                             read.results);
  }
}

void SimulatedCluster::check_configuration_at_end() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].core) continue;
    for (const auto& resource : nodes_[i].core->configuration().list("")) {
      oracle_.check_resource_at_end(node_name(i), resource.kind + "/" + resource.name,
                                    value_of(resource.version), resource.body);
    }
  }
}

}  // namespace stoathold::fuzz
