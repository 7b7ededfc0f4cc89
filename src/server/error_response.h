/// @file
/// HTTP error responses: a status code and a typed JSON body.
#pragma once

#include <string>
#include <vector>

#include "base/error.h"
#include "net/http.h"

namespace stoathold {

/// Returns the HTTP status code for an error.
int http_status_of(const Error& error);
/// Returns the JSON body
/// `{"error":{"code","type","message","execution","step","peer","retry_after_ms"}}`.
std::string error_response_body(const Error& error);
/// Returns the `retry-after` header if the caller may retry, else no headers.
std::vector<HttpHeader> error_response_headers(const Error& error);
/// Sends the error response for `error`.
boost::asio::awaitable<void> send_error_response(HttpExchange& exchange, const Error& error);
/// Creates an error for a request that was not executed.
Error not_run_error(ErrorCode code, Step step, std::string message);

}  // namespace stoathold
