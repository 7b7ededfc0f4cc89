/// @file
/// Parsing of admin requests and responses to them, shared by the emulated services.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "net/http.h"

namespace stoathold::emulator {

/// Parses the body of an admin request.
/// @return false, after responding with status 400, if it is not a JSON object.
boost::asio::awaitable<bool> read_admin_body(HttpExchange& exchange, boost::json::object& body);
/// Set `target` to the number, flag or text `name` of `body`; leave it as it is if `body` has none.
void read_number_field(const boost::json::object& body, const char* name, std::uint64_t& target);
void read_flag_field(const boost::json::object& body, const char* name, bool& target);
void read_text_field(const boost::json::object& body, const char* name, std::string& target);
/// Logs the request body as the active faults of `subject` and responds with status 200.
boost::asio::awaitable<void> confirm_admin_request(HttpExchange& exchange,
                                                   const std::string& subject);

}  // namespace stoathold::emulator
