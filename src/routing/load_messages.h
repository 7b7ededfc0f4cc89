/// @file
/// Datagrams between nodes about their use of runners.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "admission/backlog_report.h"
#include "admission/return_report.h"
#include "admission/share_report.h"
#include "base/time.h"
#include "quarantine/quarantine_messages.h"
#include "routing/batch_turns.h"
#include "routing/route_pace.h"
#include "routing/slot_loan_messages.h"
#include "routing/speed_report.h"
#include "tenancy/tenant_usage.h"

namespace stoathold {

/// A node's use of one runner.
struct RunnerUse {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  std::uint16_t in_flight = 0;
  std::uint16_t batch_in_flight = 0;  ///< Those that are batch items.
  std::uint32_t backlog_tokens = 0;   ///< Prompt tokens sent that have not led to an answer.
  std::uint16_t heard_ms_ago = 0;     ///< Since it last answered anything; saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, in_flight, batch_in_flight, backlog_tokens, heard_ms_ago);
  }
};

/// A runner to which the sender gives no work for a while, since its attempts there failed.
struct EjectedRunner {
  std::uint64_t runner = 0;         ///< `Runner::hash`.
  std::uint16_t failed_ms_ago = 0;  ///< Since the last failed attempt; saturates.
  std::uint16_t pause_left_ms = 0;  ///< Until the sender tries it again.
  std::uint8_t failures = 0;        ///< Failed attempts in a row; saturates.
  bool by_errors = false;           ///< The runner answered, with errors of its own.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, failed_ms_ago, pause_left_ms, failures, by_errors);
  }
};

/// Answers that the sender had lately from a runner of which some were errors, in tenths.
struct RunnerAnswers {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  std::uint8_t errors = 0;   ///< Saturates.
  std::uint8_t served = 0;   ///< Saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, errors, served);
  }
};

/// Where a node is reached over UDP.
struct NodeEndpoint {
  std::uint32_t ip = 0;  ///< IPv4, first byte highest.
  std::uint16_t port = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

/// Online work that had to make batch work yield, of this zone or of another that borrowed the
/// slot, is reported as waiting for so long: some digests.
inline constexpr Duration kDemandShown = std::chrono::milliseconds(30);

/// Online work that waits at the sender.
struct ServiceDemand {
  std::uint64_t service = 0;  ///< Hash of its name.
  /// Requests that can still be in time and leave slots to nobody.
  std::uint16_t waiting = 0;
  /// Requests that can still be in time and leave slots to other nodes' `waiting`.
  std::uint16_t yielding = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, waiting, yielding);
  }
};

/// All runners that the sender uses, or those of the receiver's zone.
struct LoadDigest {
  std::uint64_t sender = 0;    ///< Hash of the node's name and start.
  std::uint64_t sequence = 0;  ///< Rises with each message of a sender.
  std::uint64_t zone = 0;      ///< Hash of the sender's zone.
  std::vector<RunnerUse> uses;
  std::vector<EjectedRunner> ejected;  ///< Told inside the zone only.
  std::vector<ServiceDemand> demand;   ///< Services for which online work waits.
  std::string origin;                  ///< Sender's `ip:port` if another node may pass this on.
  bool pass_on = false;                ///< The receiver passes it on inside its zone.
  /// Nodes of the sender's zone that it has heard itself just now; listed now and then.
  std::vector<NodeEndpoint> neighbours;
  std::uint64_t configuration_version = 0;  ///< In force at the sender; 0: none yet.
  std::vector<TenantUsage> tenants;         ///< What the sender admitted; inside the zone only.
  std::vector<RunnerAnswers> answers;       ///< Inside the zone only.
  std::vector<RoutePace> paces;             ///< What the sender has learned; now and then.
  std::vector<ServiceBacklog> backlogs;     ///< Inside the zone only.
  std::vector<ShareUse> share_uses;         ///< Inside the zone only.
  std::vector<SpeedReport> speeds;          ///< Inside the zone only.
  std::vector<ReturnReport> returns;        ///< Inside the zone only.
  std::vector<BatchWait> batch_waits;       ///< Inside the zone only.
  bool leaving = false;  ///< The sender stops as planned, and admits nothing from now on.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, sequence, zone, uses, ejected, demand, origin, pass_on, neighbours);
    archive(configuration_version, tenants, answers, paces);
    archive(backlogs, share_uses, speeds, returns, batch_waits, leaving);
  }
};

/// Asks the receiver to end one batch run at a runner of the service in the zone.
struct YieldRequest {
  std::string service;
  std::string zone;
  std::uint64_t runner = 0;  ///< `Runner::hash`; 0: any of them.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, zone, runner);
  }
};

/// How loaded a runner is.
struct ZoneRunnerLoad {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  std::uint8_t percent = 0;  ///< Requests there per place; saturates.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, percent);
  }
};

/// The loads of all runners of the sender's zone, for the nodes of another zone.
struct ZoneLoads {
  std::uint64_t zone = 0;  ///< Hash of the sender's zone.
  std::vector<ZoneRunnerLoad> loads;
  bool pass_on = false;  ///< The receiver passes it on inside its zone.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, loads, pass_on);
  }
};

/// One datagram.
using PeerLoadMessage = std::variant<LoadDigest, YieldRequest, ZoneLoads, ZoneTenantUsage,
                                     EndReports, SlotLoanRequest, SlotLoan, SlotLoanReturn>;

std::string encode_message(const PeerLoadMessage& message);
/// Returns false if the bytes are malformed.
bool decode_message(const std::string& bytes, PeerLoadMessage& message);

}  // namespace stoathold
