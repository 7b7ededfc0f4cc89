/// @file
/// Online requests at the node that received them: admission, idempotency claims, dispatch, retries
/// and completion.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/ranked_mutex.h"
#include "core/configuration_system.h"
#include "core/effects.h"
#include "core/knobs.h"
#include "core/runner_table.h"
#include "core/shard_client.h"

namespace stoathold {

/// An online request as passed from the server to the core. The server keeps the request body.
struct OnlineRequest {
  RequestId id{};
  std::string tenant;
  std::string service;
  std::uint64_t prefix = 0;  ///< Hash of the prompt's first part, for prefix affinity.
  bool unsafe_to_repeat = false;
  std::string idempotency_key;         ///< Used only with `unsafe_to_repeat`; empty if none.
  Duration deadline{0};                ///< Relative to admission; 0 selects the default.
  std::uint32_t delivered_tokens = 0;  ///< Tokens that a resuming caller already has.
};

/// Recorded steps of a request, shown by the `explain` command.
struct RequestHistory {
  RequestId id{};
  std::string service;
  std::vector<std::string> lines;
};

/// Counters for metrics and reports.
struct OnlineCounters {
  std::uint64_t admitted = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t dispatches = 0;
  std::uint64_t retries = 0;
};

/// Admits online requests, dispatches them to runners and retries failed ones. Thread safe
/// (`LockRank::kOnlineRequests`).
///
/// A request that is safe to repeat resumes on another runner after the last delivered token while
/// its tenant's retry budget lasts. A request that is unsafe to repeat is sent to a runner at most
/// once and, if it has an idempotency key, only after its claim is the first for that key in the
/// log. An error reports `not_run` only if the request was never dispatched.
class OnlineRequests {
 public:
  OnlineRequests(std::uint64_t seed, const Knobs& knobs, const ConfigurationSystem& configuration,
                 RunnerTable& runners, ShardClient& caller);

  /// Admits and dispatches a request, or completes it with an error.
  void admit(const OnlineRequest& request, TimePoint now, Effects& effects);
  /// Handles the end of a stream; returns false if it is not an online stream.
  bool on_stream_ended(const StreamEnd& end, TimePoint now, Effects& effects);
  /// Handles the result of a claim; returns false if the call is not an open claim.
  bool on_call_finished(const FinishedCall& finished, TimePoint now, Effects& effects);
  /// Cancels the request of a caller that disconnected, and its stream.
  void cancel(RequestId request, Effects& effects);
  /// Dispatches requests whose retry back-off has elapsed and fails those past their deadline.
  void tick(TimePoint now, Effects& effects);

  /// Rejects new requests from now on, for a planned shutdown.
  void set_draining() {
    const std::scoped_lock lock(mutex_);
    draining_ = true;
  }
  [[nodiscard]] std::size_t open_requests() const;
  [[nodiscard]] OnlineCounters counters() const;
  [[nodiscard]] std::vector<RequestHistory> history() const;

 private:
  enum class Phase : std::uint8_t { kClaiming, kWaiting, kStreaming };

  struct OpenRequest {
    OnlineRequest request;
    ServiceSpecification service;
    Phase phase = Phase::kWaiting;
    StreamId stream{};
    RunnerId runner{};
    std::uint32_t dispatches = 0;
    std::uint32_t tokens = 0;
    std::uint64_t claim_call = 0;
    std::vector<RunnerId> failed_runners;
    TimePoint deadline;
    TimePoint retry_at;
    Duration backoff{0};
    RequestHistory history;
  };
  struct TenantState {
    std::uint32_t open = 0;
    double retry_tokens = 0;
    double rate_tokens = 0;
    TimePoint rate_updated;
    bool initialized = false;
  };

  [[nodiscard]] ErrorCode check_tenant_limits(const OnlineRequest& request, TimePoint now);
  void finish_with_error(RequestId id, ErrorCode code, Step step, Execution execution,
                         std::string peer, Effects& effects);
  void claim(OpenRequest& row, TimePoint now, Effects& effects);
  void dispatch(OpenRequest& row, TimePoint now, Effects& effects);
  void retry_or_end(OpenRequest& row, const StreamEnd& end, TimePoint now, Effects& effects);
  void end_with_error(RequestId id, ErrorCode code, Step step, Effects& effects);
  void finish(RequestId id, bool succeeded, Error error, Effects& effects);
  [[nodiscard]] Execution execution_status(const OpenRequest& row) const;
  [[nodiscard]] Duration choose_retry_after(ErrorCode code);

  const Knobs& knobs_;
  const ConfigurationSystem& configuration_;
  RunnerTable& runners_;
  ShardClient& caller_;
  mutable RankedMutex mutex_{LockRank::kOnlineRequests};
  Random random_;
  std::unordered_map<RequestId, OpenRequest> requests_;
  std::unordered_map<StreamId, RequestId> streams_;
  std::unordered_map<std::uint64_t, RequestId> claims_;
  std::unordered_map<std::string, TenantState> tenants_;
  std::deque<RequestHistory> history_;
  OnlineCounters counters_;
  std::uint64_t last_stream_ = 0;
  bool draining_ = false;
};

/// Returns whether a stream identifier belongs to an online request.
bool is_online_stream(StreamId stream);

}  // namespace stoathold
