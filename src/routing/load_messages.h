/// @file
/// Datagrams by which nodes exchange their use of runners and related state.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/backlog_report.h"
#include "admission/retry_booking_report.h"
#include "admission/slot_time_report.h"
#include "base/time.h"
#include "quarantine/prompt_part_messages.h"
#include "quarantine/quarantine_messages.h"
#include "routing/batch_arbiter.h"
#include "routing/route_stream_rate.h"
#include "routing/slot_loan_messages.h"
#include "routing/speed_report.h"
#include "routing/stream_origin.h"
#include "tenancy/tenant_usage.h"

namespace stoathold {

/// A node's use of one runner.
struct RunnerUse {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  std::uint16_t in_flight = 0;
  std::uint16_t batch_in_flight = 0;  ///< Batch items among `in_flight`.
  std::uint32_t backlog_tokens = 0;   ///< Prompt tokens of requests without a response so far.
  std::uint16_t response_age_ms = 0;  ///< Time since the runner's last response; saturates.
  std::uint16_t live_ms = 0;  ///< Length of `Runner::own_live_period`, which ends then; saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, in_flight, batch_in_flight, backlog_tokens, response_age_ms, live_ms);
  }
};

/// A runner that the sender has ejected: it sends no requests there for a time, since its attempts
/// there failed.
struct EjectedRunner {
  std::uint64_t runner = 0;         ///< `Runner::hash`.
  std::uint16_t failed_ms_ago = 0;  ///< Time since the last failed attempt; saturates.
  std::uint16_t remaining_ms = 0;   ///< Time until the sender tries the runner again.
  std::uint8_t failures = 0;        ///< Consecutive failed attempts; saturates.
  bool by_errors = false;           ///< The runner itself responded with errors.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, failed_ms_ago, remaining_ms, failures, by_errors);
  }
};

/// Counts of recent responses of a runner to the sender, in tenths. Reported for runners with some
/// error responses.
struct RunnerAnswers {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  std::uint8_t errors = 0;   ///< Saturates.
  std::uint8_t served = 0;   ///< Saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, errors, served);
  }
};

/// UDP endpoint of a node.
struct NodeEndpoint {
  std::uint32_t ip = 0;  ///< IPv4 address; its first byte is the most significant.
  std::uint16_t port = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

/// After an online request has preempted a batch item, it is reported as waiting for this time,
/// which spans several digests. The request may belong to another zone that borrowed the slot.
inline constexpr Duration kDemandReportDuration = std::chrono::milliseconds(30);

/// Online requests for one service that wait at the sender.
struct ServiceDemand {
  std::uint64_t service = 0;  ///< Hash of its name.
  /// Requests that can still be in time and leave free slots to no other node.
  std::uint16_t waiting = 0;
  /// Requests that can still be in time and leave free slots to other nodes' `waiting` requests.
  std::uint16_t yielding = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, waiting, yielding);
  }
};

/// The sender's use of all runners, or of the runners of the receiver's zone, with related state.
struct LoadDigest {
  std::uint64_t sender = 0;    ///< Hash of the node's name and start time.
  std::uint64_t sequence = 0;  ///< Increases with each message of a sender.
  std::uint64_t zone = 0;      ///< Hash of the sender's zone.
  std::vector<RunnerUse> uses;
  std::vector<EjectedRunner> ejected;  ///< Inside the zone only.
  std::vector<ServiceDemand> demand;   ///< Waiting online requests.
  std::string origin;                  ///< Sender's `ip:port` if the digest may be forwarded.
  bool forward = false;                ///< The receiver forwards the digest inside its zone.
  /// Nodes of the sender's zone from which it has received a message recently; sent periodically.
  std::vector<NodeEndpoint> neighbours;
  std::uint64_t configuration_version = 0;  ///< Version in force at the sender; 0: none yet.
  std::vector<TenantUsage> tenants;    ///< Usage that the sender admitted; inside the zone only.
  std::vector<RunnerAnswers> answers;  ///< Inside the zone only.
  std::vector<RouteStreamRate> stream_rates;  ///< Estimates of the sender; sent periodically.
  std::vector<ServiceBacklog> backlogs;       ///< Inside the zone only.
  std::vector<SlotTimeReport> share_uses;     ///< Inside the zone only.
  std::vector<SpeedReport> speeds;            ///< Inside the zone only.
  std::vector<RetryBookingReport> returns;    ///< Inside the zone only.
  std::vector<BatchQueueDepth> batch_waits;   ///< Inside the zone only.
  bool leaving = false;  ///< The sender is shutting down and admits no more requests.

  /// Returns whether it contains no load, health or limits: it only shows that its sender runs.
  [[nodiscard]] bool is_heartbeat() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, sequence, zone, uses, ejected, demand, origin, forward, neighbours);
    archive(configuration_version, tenants, answers, stream_rates);
    archive(backlogs, share_uses, speeds, returns, batch_waits, leaving);
  }
};

/// Asks the receiver to stop one of its batch items at a runner of the service in the zone.
struct YieldRequest {
  std::string service;
  std::string zone;
  std::uint64_t runner = 0;  ///< `Runner::hash`; 0: any runner of the service in the zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, zone, runner);
  }
};

/// Load of a runner.
struct ZoneRunnerLoad {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  std::uint8_t percent = 0;  ///< Requests per slot, in percent; saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, percent);
  }
};

/// Loads of the runners of the sender's zone, sent to a node of another zone.
struct ZoneLoads {
  std::uint64_t zone = 0;  ///< Hash of the sender's zone.
  std::vector<ZoneRunnerLoad> loads;
  bool forward = false;  ///< The receiver forwards the message inside its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, loads, forward);
  }
};

/// Content of one datagram.
using PeerLoadMessage =
    std::variant<LoadDigest, YieldRequest, ZoneLoads, ZoneTenantUsage, RunnerExitReports,
                 SlotLoanRequest, SlotLoan, SlotLoanReturn, QuarantineNotices, StreamOriginReport,
                 StreamOriginQuery, StreamOriginAnswer, PromptPartReports>;

/// Returns the name of a message's kind, for counters and logs.
std::string_view purpose_of(const PeerLoadMessage& message);
std::string encode_message(const PeerLoadMessage& message);
/// Decodes a datagram.
/// @return false if the bytes are malformed.
bool decode_message(const std::string& bytes, PeerLoadMessage& message);

}  // namespace stoathold
