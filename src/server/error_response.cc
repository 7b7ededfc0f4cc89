#include "server/error_response.h"

#include <boost/json.hpp>

namespace stoathold {

namespace json = boost::json;

int http_status_of(const Error& error) {
  switch (static_cast<ErrorCode>(error.code.value())) {
    case ErrorCode::kBadRequest:
    case ErrorCode::kInvalidResource:
      return 400;
    case ErrorCode::kUnknownModel:
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kConflict:
    case ErrorCode::kDuplicateKey:
      return 409;
    case ErrorCode::kTenantLimit:
      return 429;
    case ErrorCode::kEngineFailed:
    case ErrorCode::kPeerUnreachable:
      return 502;
    case ErrorCode::kEngineTimeout:
    case ErrorCode::kDeadlineExceeded:
      return 504;
    default:
      return 503;
  }
}

std::string error_response_body(const Error& error) {
  json::object body;
  body["code"] = error.code.value();
  body["type"] = error.code.message();
  body["message"] = error.message.empty() ? error.code.message() : error.message;
  body["execution"] = to_string(error.execution);
  body["step"] = to_string(error.step);
  body["peer"] = error.peer;
  body["retry_after_ms"] = error.retry_after.count() / 1000;
  return json::serialize(json::object{{"error", body}});
}

std::vector<HttpHeader> error_response_headers(const Error& error) {
  if (error.retry_after.count() == 0) return {};
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retry_after);
  return {{"retry-after", std::to_string(seconds.count())}};
}

boost::asio::awaitable<void> send_error_response(HttpExchange& exchange, const Error& error) {
  co_await exchange.respond(http_status_of(error), "application/json", error_response_body(error),
                            error_response_headers(error));
}

Error not_run_error(ErrorCode code, Step step, std::string message) {
  return {make_error_code(code), step, "", std::move(message), Execution::kNotRun, Duration{0}};
}

}  // namespace stoathold
