/// @file
/// Connects one `NodeCore` to clocks and sockets: executes its effects and delivers events to it.
#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/timer.h"
#include "core/node_core.h"
#include "net/engine_client.h"
#include "net/log_client.h"
#include "net/machine_list_client.h"
#include "net/peer_transport.h"
#include "server/node_state_logger.h"
#include "server/one_shot.h"
#include "server/online_session.h"
#include "server/settings.h"

namespace stoathold {

/// Outcome of a resource change: the new version, or the error.
struct ChangeOutcome {
  bool accepted = false;
  Offset version{};
  Error error;
};

/// Runtime of one node: the core, the peer transport, and the clients of the log, the machine list
/// and the engines.
///
/// Thread safe: any worker thread may run any callback. The core does its own locking; this class's
/// mutex (`LockRank::kTransport`) guards only the tables of open sessions, calls and changes, and
/// is never held while the core or a socket is used.
class NodeRuntime {
 public:
  /// Binds the peer address.
  /// @throws std::system_error if the address cannot be bound.
  NodeRuntime(const NodeSettings& settings, const boost::asio::any_io_executor& executor);
  ~NodeRuntime();

  /// Starts the peer transport and the periodic tick.
  void start();
  /// Starts a graceful shutdown. Calls `drained` once no work is in progress, or when
  /// `NodeSettings::drain_seconds` have passed. Later calls are ignored.
  void drain(std::function<void()> drained);

  /// Serves one online request to completion on the exchange's strand.
  /// @param resume_tokens tokens that the caller already has; the stream continues after them.
  boost::asio::awaitable<void> serve_online(HttpExchange& exchange, OnlineRequest request,
                                            std::string body, bool wants_stream,
                                            std::uint32_t resume_tokens);
  /// Sends a request to the owner of a job's shard and waits for its response.
  /// @param executor a strand on which the calling coroutine runs.
  boost::asio::awaitable<ShardAnswer> call_job(JobId job, ShardRequest request,
                                               boost::asio::any_io_executor executor);
  /// Changes a resource through the shared log and waits for the outcome.
  /// @param executor a strand on which the calling coroutine runs.
  boost::asio::awaitable<ChangeOutcome> change_resource(ResourceChange change,
                                                        boost::asio::any_io_executor executor);

  [[nodiscard]] NodeCore& core() { return core_; }
  [[nodiscard]] const NodeSettings& settings() const { return settings_; }
  [[nodiscard]] PeerTraffic traffic() const { return transport_.traffic(); }
  [[nodiscard]] std::string peer_address() const { return transport_.address(); }

 private:
  void tick();
  void schedule_tick();
  void read_machine_list();
  void poll_loads();
  void check_drained();
  void execute_effects(Effects effects);
  void perform(SendToPeer& effect);
  void perform(AppendToLog& effect);
  void perform(ReadFromLog& effect);
  void perform(ReadLogHead& effect);
  void perform(OpenStream& effect);
  void perform(CancelStream& effect);
  void perform(FinishRequest& effect);
  void perform(AnswerCall& effect);
  void perform(AnswerChange& effect);
  void open_online(const OpenStream& effect);
  void open_batch(const OpenStream& effect);
  void end_stream(const StreamEnd& end);

  const NodeSettings settings_;
  boost::asio::any_io_executor executor_;
  PeerTransport transport_;
  std::unique_ptr<LogClient> log_;
  std::unique_ptr<MachineListClient> machine_list_;
  std::unique_ptr<EngineClient> engines_;
  NodeCore core_;

  RankedMutex mutex_{LockRank::kTransport};
  std::unordered_map<RequestId, std::shared_ptr<OnlineSession>> sessions_;
  WaiterTable<ShardAnswer> calls_;
  WaiterTable<ChangeOutcome> changes_;

  Timer tick_timer_;
  TimePoint next_machine_read_;
  TimePoint next_load_poll_;
  TimePoint next_state_check_;
  std::atomic<bool> stopping_{false};
  TimePoint drain_deadline_;
  std::function<void()> drained_;
  NodeStateLogger state_logger_;
};

}  // namespace stoathold
