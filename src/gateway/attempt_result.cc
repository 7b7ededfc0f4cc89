#include "gateway/attempt_result.h"

namespace stoathold {

std::string_view to_string(AttemptResult result) {
  switch (result) {
    case AttemptResult::kCompleted:
      return "completed";
    case AttemptResult::kFailed:
      return "failed";
    case AttemptResult::kErrorRelayed:
      return "error_passed_on";
    case AttemptResult::kImpossible:
      return "impossible";
    case AttemptResult::kTooLong:
      return "too_long";
    case AttemptResult::kUnconfirmedEnd:
      return "unconfirmed_end";
    case AttemptResult::kNotRun:
      return "not_run";
    case AttemptResult::kUnreachable:
      return "unreachable";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kYielded:
      return "yielded";
    case AttemptResult::kStopped:
      break;
  }
  return "stopped";
}

bool may_have_run(AttemptResult result) {
  return result == AttemptResult::kBroken || result == AttemptResult::kFailed;
}

AttemptOutcome runner_outcome(AttemptResult result) {
  switch (result) {
    case AttemptResult::kCompleted:
    case AttemptResult::kUnconfirmedEnd:
      return AttemptOutcome::kServed;
    case AttemptResult::kNotRun:
      return AttemptOutcome::kNotRun;
    case AttemptResult::kUnreachable:
      return AttemptOutcome::kUnreachable;
    case AttemptResult::kBroken:
      return AttemptOutcome::kFailed;
    case AttemptResult::kFailed:
    case AttemptResult::kErrorRelayed:
      return AttemptOutcome::kError;
    default:
      return AttemptOutcome::kAbandoned;
  }
}

}  // namespace stoathold
