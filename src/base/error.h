/// @file
/// Errors as values: a code, the processing step and the peer involved.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

#include "base/time.h"

namespace stoathold {

/// Numbered error codes; the numbers are part of the public interface (docs/OPERATING.md).
enum class ErrorCode : int {
  kNone = 0,
  kBadRequest = 100,
  kUnknownModel = 101,
  kNotFound = 102,
  kTooLarge = 103,
  kConflict = 104,
  kDuplicateKey = 105,
  kInvalidResource = 106,
  kTenantLimit = 200,
  kOverloaded = 201,
  kDeadlineTooShort = 202,
  kDraining = 203,
  kNotReady = 204,
  kNoRunner = 205,
  kRetryBudgetSpent = 206,
  kLogUnavailable = 300,
  kShardMoving = 301,
  kEngineFailed = 400,
  kEngineTimeout = 401,
  kPeerUnreachable = 402,
  kDeadlineExceeded = 403,
  kCancelled = 404,
};

/// Category of `ErrorCode` for `std::error_code`.
const std::error_category& stoathold_category();
/// Makes a standard error code; found by argument-dependent lookup.
std::error_code make_error_code(ErrorCode code);

/// Whether the work behind an error was executed.
enum class Execution : std::uint8_t {
  kNotRun,   ///< Known not to have run; a retry is safe.
  kRan,      ///< Known to have run.
  kUnknown,  ///< May have run, or may still run.
};

/// Returns `not_run`, `ran` or `unknown`, as written in error responses.
std::string_view to_string(Execution execution);

/// The processing step at which an error occurred.
enum class Step : std::uint8_t {
  kParse,
  kAdmit,
  kRoute,
  kClaim,
  kDispatch,
  kStream,
  kAppend,
  kReadLog,
  kApply,
  kForward,
};

/// Returns the name of the step, as written in error responses and logs.
std::string_view to_string(Step step);

/// An error with its context. `peer` names the process that it involves; empty for this process.
struct Error {
  std::error_code code;
  Step step = Step::kParse;
  std::string peer;
  std::string message;
  Execution execution = Execution::kNotRun;
  Duration retry_after{0};  ///< Delay before the caller may retry; 0: no retry is expected.
};

}  // namespace stoathold

template <>
struct std::is_error_code_enum<stoathold::ErrorCode> : std::true_type {};
