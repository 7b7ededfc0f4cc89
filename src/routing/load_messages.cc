#include "routing/load_messages.h"

#include "core/codec.h"

namespace stoathold {

namespace {

constexpr std::string_view kSlotLoans = "slot_loans";
constexpr std::string_view kStreamOriginQueries = "stream_origin_queries";

/// Names of the kinds of messages.
struct PurposeOf {
  std::string_view operator()(const LoadDigest&) const { return "load_digest"; }
  std::string_view operator()(const YieldRequest&) const { return "yield"; }
  std::string_view operator()(const ZoneLoads&) const { return "zone_loads"; }
  std::string_view operator()(const ZoneTenantUsage&) const { return "tenant_usage"; }
  std::string_view operator()(const RunnerExitReports&) const { return "runner_exits"; }
  std::string_view operator()(const SlotLoanRequest&) const { return kSlotLoans; }
  std::string_view operator()(const SlotLoan&) const { return kSlotLoans; }
  std::string_view operator()(const SlotLoanReturn&) const { return kSlotLoans; }
  std::string_view operator()(const QuarantineNotices&) const { return "quarantine"; }
  std::string_view operator()(const StreamOriginReport&) const { return "stream_origins"; }
  std::string_view operator()(const StreamOriginQuery&) const { return kStreamOriginQueries; }
  std::string_view operator()(const StreamOriginAnswer&) const { return kStreamOriginQueries; }
  std::string_view operator()(const PromptPartReports&) const { return "prompt_parts"; }
};

}  // namespace

bool LoadDigest::is_heartbeat() const {
  const bool has_load = !uses.empty() || !demand.empty() || !batch_waits.empty();
  const bool has_health = !ejected.empty() || !answers.empty() || !speeds.empty();
  const bool has_limits = !tenants.empty() || !share_uses.empty() || !returns.empty();
  return !has_load && !has_health && !has_limits && !leaving;
}

std::string_view purpose_of(const PeerLoadMessage& message) {
  return std::visit(PurposeOf(), message);
}

std::string encode_message(const PeerLoadMessage& message) {
  return encode_value(message);
}

bool decode_message(const std::string& bytes, PeerLoadMessage& message) {
  return decode_value(bytes, message);
}

}  // namespace stoathold
