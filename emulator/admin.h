/// @file
/// Reading of admin requests, shared by the stand-ins.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "net/http.h"

namespace stoathold::emulator {

/// Parses an admin body; returns false (and answers 400) if it is not a JSON object.
boost::asio::awaitable<bool> read_admin(HttpExchange& exchange, boost::json::object& body);
/// Sets `target` if `body` has a number, flag or text of that name.
void take_number(const boost::json::object& body, const char* name, std::uint64_t& target);
void take_flag(const boost::json::object& body, const char* name, bool& target);
void take_text(const boost::json::object& body, const char* name, std::string& target);
/// Answers an admin request.
boost::asio::awaitable<void> answer_admin(HttpExchange& exchange, const std::string& subject);

}  // namespace stoathold::emulator
