/// @file
/// One caller's request on its way through the gateway: attempts at runners, resumption, answer.
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
#include "net/http.h"
#include "quarantine/quarantine_check.h"

namespace stoathold {

/// How a request ended, for logs and metrics.
enum class RequestOutcome : std::uint8_t {
  kServed,      ///< The runner's whole answer was passed on, whatever its status.
  kRefused,     ///< Not run; the caller was given a time to come back.
  kFailed,      ///< It may have run, and there is no answer.
  kBrokenOff,   ///< The answer ended early.
  kTimedOut,    ///< Its time was up.
  kCallerGone,  ///< The caller closed its connection.
};

/// Returns the outcome's name for logs.
std::string_view to_string(RequestOutcome outcome);

/// Serves one request. Lives in a shared pointer as long as its coroutine; the exchange outlives
/// the coroutine.
///
/// A request that may not be repeated is answered "not run" (503) only while every runner that it
/// was sent to has said so; once its fate is unknown the answer is 502 or 504.
class OnlineRequest : public std::enable_shared_from_this<OnlineRequest> {
 public:
  OnlineRequest(GatewayContext& context, HttpExchange& exchange,
                std::shared_ptr<const ServingConfiguration> configuration, const Route& route,
                Caller caller);

  boost::asio::awaitable<RequestOutcome> serve();

  /// Runners that may have run it.
  [[nodiscard]] std::uint32_t runs() const { return runs_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  /// From the request's arrival to the start of the answer; nothing if there was none.
  [[nodiscard]] std::optional<Duration> answer_delay() const { return answer_delay_; }

 private:
  /// Events over which the time between two is measured: some windows in an answer of usual length.
  static constexpr std::uint64_t kGapWindowEvents = 8;

  void read_request();
  void start_watches();
  boost::asio::awaitable<void> run_attempts();
  boost::asio::awaitable<AttemptResult> attempt(const std::shared_ptr<Runner>& runner);
  boost::asio::awaitable<AttemptResult> take_answer(Runner& runner);
  boost::asio::awaitable<AttemptResult> relay_body(Runner& runner);
  boost::asio::awaitable<AttemptResult> relay_events(Runner& runner);
  boost::asio::awaitable<void> finish_answer();
  boost::asio::awaitable<bool> send_head();
  boost::asio::awaitable<bool> send_whole_events(Runner& runner, std::string_view bytes,
                                                 bool& spoiled);
  boost::asio::awaitable<void> finish_without_answer();
  /// How a refusal tells when to come back.
  enum class ReturnAdvice : std::uint8_t {
    kUsual,  ///< After the usual time.
    kAfter,  ///< After a time that was computed.
    kNone,   ///< Coming back cannot help.
  };
  struct Refusal {
    int status = 0;
    RequestOutcome outcome = RequestOutcome::kRefused;
    const char* reason = "";
    ReturnAdvice advice = ReturnAdvice::kUsual;
    Duration retry_after{0};  ///< With `kAfter`.
  };
  boost::asio::awaitable<void> refuse(Refusal refusal);
  boost::asio::awaitable<void> refuse_rejected();
  boost::asio::awaitable<void> refuse_quarantined(std::shared_ptr<Runner> runner);

  /// For which a connection may have rested that is used for this request.
  [[nodiscard]] Duration longest_rest() const;
  [[nodiscard]] UpstreamRequest build_request(const Runner& runner) const;
  [[nodiscard]] AttemptResult classify_failure(UpstreamStatus status) const;
  void give_place_back(Runner& runner);
  [[nodiscard]] bool may_run_again() const;
  [[nodiscard]] bool has_alternative() const;
  [[nodiscard]] bool lost_access() const;
  boost::asio::awaitable<void> refuse_lost_access(Runner& runner);
  boost::asio::awaitable<std::shared_ptr<Runner>> place();
  void bound_wait(PlacementRequest& request);
  [[nodiscard]] TimePoint caller_patience_end(TimePoint since) const;
  [[nodiscard]] AdmissionStanding standing();
  void note_slot_freed(AttemptResult result);
  [[nodiscard]] std::uint32_t priority() const {
    return caller_.priority.value_or(route_.priority);
  }
  void watch_silence(const std::shared_ptr<Runner>& runner);
  void watch_runner_queue(const std::shared_ptr<Runner>& runner, bool again);
  void log_choice(const Selection& choice);
  void log_attempt(const Runner& runner, AttemptResult result, UpstreamStatus status);
  void stop(RequestOutcome outcome);
  void be_patient(Duration patience);
  void note_first_event(Runner& runner);
  void note_event_gap(Runner& runner);

  GatewayContext& context_;
  HttpExchange& exchange_;
  std::shared_ptr<const ServingConfiguration> configuration_;
  const Route& route_;
  Caller caller_;
  QuarantineCheck quarantine_check_;
  std::string service_;
  std::string id_;
  TimePoint arrival_;
  TimePoint deadline_;
  PromptPrefix prompt_;
  std::vector<HttpHeader> forwarded_headers_;

  Timer deadline_timer_;
  Timer runner_queue_timer_;
  std::shared_ptr<PlacementTicket> ticket_;
  std::optional<PlacementRejection> rejection_;  ///< Of the last wait for a slot.
  std::optional<AdmissionStanding> standing_;    ///< Once it was looked up.
  std::uint32_t tokens_to_read_ = 0;  ///< Of the current attempt, until its answer begins.
  std::shared_ptr<UpstreamExchange> upstream_;
  Duration patience_{0};     ///< Silence after which a runner is given up; 0: none.
  TimePoint quiet_since_{};  ///< Since then nothing came for this request.
  EventFramer framer_;
  std::vector<std::uint64_t> tried_;
  std::string choice_;                     ///< What decided the current attempt's runner, for logs.
  RunnerWork runner_work_;                 ///< What decides the times of its answer.
  std::optional<ExpectedTimes> expected_;  ///< Those, if they were predicted.
  TimePoint attempt_start_{};
  RunStage stage_ = RunStage::kWaiting;  ///< Of the current attempt.
  std::uint32_t sends_ = 0;
  std::uint32_t runs_ = 0;
  bool head_sent_ = false;
  std::optional<Duration> answer_delay_;
  bool stopped_ = false;
  std::optional<std::uint64_t> last_event_;
  TimePoint last_piece_{};
  EventGapWindow gap_window_{kGapWindowEvents};
  RequestOutcome outcome_ = RequestOutcome::kFailed;
};

}  // namespace stoathold
