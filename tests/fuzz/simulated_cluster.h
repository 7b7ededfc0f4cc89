/// @file
/// Simulated cluster: nodes that run the production core, a log, engines, links, callers and
/// operators.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/node_core.h"
#include "fuzz/event_queue.h"
#include "fuzz/oracle.h"
#include "fuzz/simulated_engine.h"
#include "fuzz/simulated_log.h"
#include "net/event_splitter.h"

namespace stoathold::fuzz {

struct ClusterSize {
  std::size_t nodes = 5;
  std::size_t zones = 3;
  std::size_t engines = 4;
  std::uint32_t slots = 4;
};

/// Discrete-event simulation of a cluster. Deterministic for a seed and a sequence of calls. Not
/// thread safe.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(std::uint64_t seed, ClusterSize size = {});
  ~SimulatedCluster();

  // Time.
  void run_for(Duration duration);
  /// Heals every fault, waits until no work is in progress and checks the final state.
  void finish();

  // Client calls. Node and engine indexes wrap around.
  void online(std::size_t node, std::uint32_t tokens, Duration deadline);
  void unsafe_online(std::size_t node, std::uint64_t key);
  void unsafe_online_unkeyed(std::size_t node);
  void submit(std::size_t node, std::uint64_t key, std::uint32_t items);
  void cancel(std::size_t node, std::uint64_t key);
  void read_status(std::size_t node, std::uint64_t key);
  void read_results(std::size_t node, std::uint64_t key);

  // Operator calls.
  void change(std::size_t node, std::uint64_t resource, std::optional<std::uint64_t> version,
              std::uint32_t slots);

  // Node and link faults.
  void crash(std::size_t node);
  void restart(std::size_t node);
  void freeze(std::size_t node);
  void unfreeze(std::size_t node);
  void drain(std::size_t node);
  void cut(std::size_t from, std::size_t to, bool both_ways);
  void heal_links();
  void set_reorder(bool reorder) { reorder_ = reorder; }

  SimulatedLog& log() { return log_; }
  SimulatedEngine& engine(std::size_t index) { return *engines_[index % engines_.size()].engine; }
  void set_leaving(std::size_t index, bool leaving);

  Oracle& oracle() { return oracle_; }
  [[nodiscard]] const NodeCore* core(std::size_t node) const { return nodes_[node].core.get(); }
  [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
  [[nodiscard]] TimePoint now() const { return events_.now(); }

 private:
  struct CallerSession {
    std::uint64_t call = 0;
    std::uint64_t work = 0;
    std::uint64_t fingerprint = 0;
    std::uint32_t tokens = 0;
    std::string received;
    bool unsafe = false;
  };
  struct OpenNodeStream {
    std::size_t engine = 0;
    std::uint64_t global = 0;  ///< Id of the stream at its engine.
    std::unique_ptr<EventSplitter> splitter;
    RequestId request{};
    bool online = true;
    std::string text;
    std::string marker;
    std::uint64_t progress = 0;  ///< Number of deliveries; detects stalled streams.
    Duration token_timeout{0};
  };
  struct JobCall {
    std::uint64_t key = 0;
    enum class Kind : std::uint8_t { kSubmit, kCancel, kStatus, kResults } kind = Kind::kStatus;
    Oracle::ReadStart start;
  };
  struct ChangeCall {
    std::string resource;
    std::uint64_t expected = 0;
    std::string body;
  };
  struct Node {
    std::unique_ptr<NodeCore> core;
    std::string zone;
    std::uint64_t start = 0;  ///< Unique among all starts of all nodes.
    bool frozen = false;
    bool draining = false;
    TimePoint disrupted_at;  ///< Time of the last start or unfreeze.
    std::deque<std::function<void()>> deferred;
    std::map<RequestId, CallerSession> sessions;
    std::map<StreamId, OpenNodeStream> streams;
    std::map<std::uint64_t, JobCall> job_calls;
    std::map<std::uint64_t, ChangeCall> change_calls;
  };
  struct Engine {
    std::unique_ptr<SimulatedEngine> engine;
    std::string zone;
    std::optional<TimePoint> leaving_since;
  };

  void start_node(std::size_t index);
  void schedule_tick(std::size_t index, std::uint64_t start);
  void schedule_platform_poll(std::size_t index, std::uint64_t start);
  void on_node(std::size_t index, std::uint64_t start, std::function<void()> action);
  void execute_effects(std::size_t index, Effects effects);
  void execute_effect(std::size_t index, SendToPeer& effect);
  void execute_effect(std::size_t index, AppendToLog& effect);
  void execute_effect(std::size_t index, ReadFromLog& effect);
  void execute_effect(std::size_t index, ReadLogHead& effect);
  void execute_effect(std::size_t index, OpenStream& effect);
  void execute_effect(std::size_t index, CancelStream& effect);
  void execute_effect(std::size_t index, FinishRequest& effect);
  void execute_effect(std::size_t index, AnswerCall& effect);
  void execute_effect(std::size_t index, AnswerChange& effect);
  void deliver(std::size_t index, StreamId stream, const std::string& bytes, bool ended);
  void end_stream(std::size_t index, StreamId stream, StreamOutcome outcome);
  void watch_stream(std::size_t index, std::uint64_t start, StreamId stream, std::uint64_t progress,
                    Duration timeout);
  void admit(std::size_t node, CallerSession session, OnlineRequest request);
  void break_connections(std::size_t index);
  void close_streams(std::size_t index);
  void deliver_machine_list(std::size_t index);
  void check_drained(std::size_t index, std::uint64_t start);
  void check_leaving(std::size_t index, std::size_t engine);
  void start_job_call(std::size_t index, std::uint64_t key, JobCall::Kind kind,
                      ShardRequest request);
  void read_configuration(std::size_t index);
  [[nodiscard]] bool is_idle() const;
  void check_jobs_at_end();
  void check_configuration_at_end();
  [[nodiscard]] std::optional<std::size_t> index_of(const std::string& address) const;
  [[nodiscard]] bool is_serving(std::size_t index) const {
    return nodes_[index].core != nullptr && !nodes_[index].frozen;
  }
  [[nodiscard]] static JobId job_id(std::uint64_t key);

  EventQueue events_;
  Random random_;
  Oracle oracle_;
  SimulatedLog log_;
  Knobs knobs_;
  std::vector<Node> nodes_;
  std::vector<Engine> engines_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  bool reorder_ = false;
  std::uint64_t last_start_ = 0;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_stream_ = 0;
  std::uint64_t last_execution_ = 0;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> link_busy_until_;

  /// Responses collected during the final checks.
  struct FinalRead {
    bool answered = false;
    bool found = false;
    JobStatus status;
    std::map<std::uint32_t, std::string> results;
    std::uint32_t next_index = 0;
    bool complete = false;
  };
  std::map<std::uint64_t, FinalRead> final_reads_;
  bool running_final_checks_ = false;
};

}  // namespace stoathold::fuzz
