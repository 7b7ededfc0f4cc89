/// @file
/// An online request in the gateway: attempts at runners, resumption of streams, response.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "gateway/attempt_result.h"
#include "gateway/caller_check.h"
#include "gateway/event_framer.h"
#include "gateway/event_gap_window.h"
#include "gateway/gateway_context.h"
#include "gateway/prompt_prefix.h"
#include "gateway/response_end.h"
#include "net/http.h"
#include "quarantine/quarantine_check.h"
#include "routing/stream_origin.h"

namespace stoathold {

/// How a request ended, for logs and metrics.
enum class RequestOutcome : std::uint8_t {
  kServed,              ///< The runner's complete response was relayed, whatever its status.
  kRefused,             ///< Not run; the caller may retry.
  kFailed,              ///< It may have run, and no response was sent.
  kIncomplete,          ///< The response ended early.
  kTimedOut,            ///< The deadline passed.
  kCallerDisconnected,  ///< The caller closed its connection.
};

/// Returns the outcome's name for logs.
std::string_view to_string(RequestOutcome outcome);

/// Serves one online request. Owned by a shared pointer that its coroutine holds; the exchange must
/// outlive the coroutine.
///
/// A request that may not be repeated gets the status 503 ("not run") only if every runner that it
/// was sent to reported that it did not run it. Once its outcome is unknown the status is 502 or
/// 504.
class OnlineRequest : public std::enable_shared_from_this<OnlineRequest> {
 public:
  OnlineRequest(GatewayContext& context, HttpExchange& exchange,
                std::shared_ptr<const ServingConfiguration> configuration, const Route& route,
                Caller caller);

  /// Serves the request until its response is sent or it has failed.
  boost::asio::awaitable<RequestOutcome> serve();

  /// Returns the number of runners that may have run the request.
  [[nodiscard]] std::uint32_t runs() const { return runs_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  /// Returns the time from the request's arrival to the start of the response, if one was started.
  [[nodiscard]] std::optional<Duration> response_delay() const { return response_delay_; }

 private:
  static constexpr const char* kNoRunnerOfVersion = "no_runner_of_version";
  /// Maximum length of an id of the caller's in a log line.
  static constexpr std::size_t kMaxLoggedIdBytes = 64;
  /// Events per measurement of the event gap; a response of usual length has several such windows.
  static constexpr std::uint64_t kGapWindowEvents = 8;

  void read_request();
  void start_cancellation_watches();
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> run_attempts();
  boost::asio::awaitable<AttemptResult> attempt(const std::shared_ptr<Runner>& runner);
  void reset_attempt();
  void record_sent(const std::shared_ptr<Runner>& runner);
  boost::asio::awaitable<AttemptResult> relay_response(Runner& runner);
  boost::asio::awaitable<AttemptResult> relay_body(Runner& runner);
  boost::asio::awaitable<AttemptResult> relay_events(Runner& runner);
  /// Checks whether a response that was read to its end is complete.
  boost::asio::awaitable<AttemptResult> check_end(const Runner& runner,
                                                  ResponseEndCheck::Proof proof);
  boost::asio::awaitable<void> finish_response();
  boost::asio::awaitable<bool> send_head();
  boost::asio::awaitable<bool> send_complete_events(Runner& runner, std::string_view bytes,
                                                    bool& invalid);
  boost::asio::awaitable<void> finish_without_response();
  /// The value of the Retry-After header of a refusal.
  enum class RetryAdvice : std::uint8_t {
    kDefaultDelay,   ///< A fixed delay.
    kComputedDelay,  ///< The delay in `Refusal::retry_after`.
    kNone,           ///< No header, since a retry cannot succeed in time.
  };
  struct Refusal {
    int status = 0;
    RequestOutcome outcome = RequestOutcome::kRefused;
    const char* reason = "";
    RetryAdvice advice = RetryAdvice::kDefaultDelay;
    Duration retry_after{0};  ///< With `kComputedDelay`.
  };
  boost::asio::awaitable<void> refuse(Refusal refusal);
  boost::asio::awaitable<void> refuse_rejected();
  boost::asio::awaitable<void> refuse_held_back(std::shared_ptr<Runner> runner);

  /// Returns how long a pooled connection may have been idle to be used for this request.
  [[nodiscard]] Duration max_idle_time() const;
  [[nodiscard]] UpstreamRequest build_request(const Runner& runner) const;
  [[nodiscard]] AttemptResult classify_failure(UpstreamStatus status) const;
  void release_slot(Runner& runner);
  boost::asio::awaitable<bool> resolve_origin();
  boost::asio::awaitable<void> refuse_resumption(const char* reason);
  boost::asio::awaitable<void> refuse_malformed_position();
  [[nodiscard]] StreamKey own_stream_key(std::string_view attempt_id) const;
  void record_origin(const Runner& runner);
  [[nodiscard]] bool has_runner_of_origin() const;
  [[nodiscard]] bool may_run_again() const;
  [[nodiscard]] bool has_alternative() const;
  [[nodiscard]] bool access_revoked() const;
  boost::asio::awaitable<void> refuse_revoked_access(Runner& runner);
  boost::asio::awaitable<std::shared_ptr<Runner>> acquire_slot();
  [[nodiscard]] SelectionRequest make_selection() const;
  void limit_wait(PlacementRequest& request);
  [[nodiscard]] TimePoint caller_timeout_at(TimePoint since) const;
  [[nodiscard]] AdmissionClass admission_class();
  void record_slot_release(AttemptResult result);
  [[nodiscard]] std::uint32_t priority() const {
    return caller_.priority.value_or(route_.priority);
  }
  void watch_silence(const std::shared_ptr<Runner>& runner);
  void watch_runner_queue(const std::shared_ptr<Runner>& runner, bool repeated);
  void log_choice(const Selection& choice);
  void log_attempt(const Runner& runner, AttemptResult result, UpstreamStatus status);
  void stop(RequestOutcome outcome);
  void start_silence_timeout(Duration timeout);
  void record_first_event(Runner& runner);
  void record_event_gap(Runner& runner);

  GatewayContext& context_;
  HttpExchange& exchange_;
  std::shared_ptr<const ServingConfiguration> configuration_;
  const Route& route_;
  Caller caller_;
  QuarantineCheck quarantine_check_;
  std::string service_;
  std::string id_;
  /// Id of the caller's attempt that delivered the first event of the stream that this request
  /// resumes; empty if the caller names none.
  std::string resumed_attempt_;
  bool is_resumption_ = false;  ///< The caller takes up a stream that an earlier attempt began.
  bool has_malformed_position_ = false;  ///< The caller's last event id is not a number.
  /// The only runners at which the stream may go on. Set before the first event is delivered, and
  /// from the start for a resumption.
  std::optional<StreamOrigin> origin_;
  TimePoint arrival_;
  TimePoint deadline_;
  PromptPrefix prompt_;
  std::vector<HttpHeader> forwarded_headers_;

  Timer deadline_timer_;
  Timer runner_queue_timer_;
  std::shared_ptr<PlacementTicket> ticket_;
  std::optional<PlacementRejection> rejection_;  ///< Result of the last wait for a slot.
  std::optional<AdmissionClass>
      admission_class_;                ///< Set on the first call of `admission_class()`.
  std::uint32_t uncached_tokens_ = 0;  ///< Of the current attempt, until its response begins.
  std::shared_ptr<UpstreamExchange> upstream_;
  Duration silence_timeout_{0};  ///< Silence after which the attempt is abandoned; 0: no limit.
  TimePoint silent_since_{};     ///< When the runner was last active for this request.
  EventFramer framer_;
  std::vector<std::uint64_t> tried_runners_;
  std::string choice_text_;  ///< Why the current attempt's runner was chosen, for logs.
  RunnerWork runner_work_;   ///< Inputs of the predicted response times.
  std::optional<ExpectedTimes> expected_times_;  ///< Predicted response times, if any.
  TimePoint attempt_start_{};
  RunStage stage_ = RunStage::kWaiting;  ///< Of the current attempt.
  bool delivered_events_ = false;        ///< The current attempt has delivered events.
  bool is_on_trial_ = false;             ///< The current attempt tests a quarantine.
  /// A trial was claimed, and no runner has had the request since.
  bool has_claimed_trial_ = false;
  std::uint32_t sends_ = 0;
  std::uint32_t runs_ = 0;
  bool head_sent_ = false;
  bool is_unsendable_ = false;  ///< A header exceeds the limit of the HTTP library.
  std::optional<Duration> response_delay_;
  bool stopped_ = false;
  std::optional<std::uint64_t> last_event_;
  ResponseEndCheck end_check_;
  TimePoint last_write_{};
  EventGapWindow gap_window_{kGapWindowEvents};
  RequestOutcome outcome_ = RequestOutcome::kFailed;
};

}  // namespace stoathold
