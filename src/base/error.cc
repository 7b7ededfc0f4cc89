#include "base/error.h"

namespace stoathold {
namespace {

std::string describe(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNone:
      return "no error";
    case ErrorCode::kBadRequest:
      return "bad request";
    case ErrorCode::kUnknownModel:
      return "unknown model";
    case ErrorCode::kNotFound:
      return "not found";
    case ErrorCode::kTooLarge:
      return "too large";
    case ErrorCode::kConflict:
      return "version conflict";
    case ErrorCode::kDuplicateKey:
      return "idempotency key already claimed";
    case ErrorCode::kInvalidResource:
      return "invalid resource";
    case ErrorCode::kTenantLimit:
      return "tenant limit reached";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kDeadlineTooShort:
      return "deadline cannot be met";
    case ErrorCode::kDraining:
      return "node is draining";
    case ErrorCode::kNotReady:
      return "node is not ready";
    case ErrorCode::kNoRunner:
      return "no runner is fit to serve";
    case ErrorCode::kRetryBudgetSpent:
      return "retry budget spent";
    case ErrorCode::kLogUnavailable:
      return "platform log unavailable";
    case ErrorCode::kShardMoving:
      return "job shard is moving";
    case ErrorCode::kEngineFailed:
      return "engine failed";
    case ErrorCode::kEngineTimeout:
      return "engine timed out";
    case ErrorCode::kPeerUnreachable:
      return "peer unreachable";
    case ErrorCode::kDeadlineExceeded:
      return "deadline exceeded";
    case ErrorCode::kCancelled:
      return "cancelled";
  }
  return "unknown error";
}

class StoatholdCategory final : public std::error_category {
 public:
  const char* name() const noexcept override { return "stoathold"; }
  std::string message(int condition) const override {
    return describe(static_cast<ErrorCode>(condition));
  }
};

}  // namespace

const std::error_category& stoathold_category() {
  static const StoatholdCategory kCategory;
  return kCategory;
}

std::error_code make_error_code(ErrorCode code) {
  return {static_cast<int>(code), stoathold_category()};
}

std::string_view to_string(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "not_run";
    case Execution::kRan:
      return "ran";
    case Execution::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view to_string(Step step) {
  switch (step) {
    case Step::kParse:
      return "parse";
    case Step::kAdmit:
      return "admit";
    case Step::kRoute:
      return "route";
    case Step::kClaim:
      return "claim";
    case Step::kDispatch:
      return "dispatch";
    case Step::kStream:
      return "stream";
    case Step::kAppend:
      return "append";
    case Step::kReadLog:
      return "read_log";
    case Step::kApply:
      return "apply";
    case Step::kForward:
      return "forward";
  }
  return "unknown";
}

}  // namespace stoathold
