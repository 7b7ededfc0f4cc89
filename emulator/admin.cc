#include "emulator/admin.h"

#include <boost/json.hpp>

#include "base/event_log.h"

namespace stoathold::emulator {

namespace asio = boost::asio;
namespace json = boost::json;

asio::awaitable<bool> read_admin_body(HttpExchange& exchange, json::object& body) {
  boost::system::error_code error;
  auto value = json::parse(exchange.body(), error);
  if (error || !value.is_object()) {
    co_await exchange.respond(400, "text/plain", "the body must be a JSON object\n");
    co_return false;
  }
  body = std::move(value.get_object());
  co_return true;
}

void read_number_field(const json::object& body, const char* name, std::uint64_t& target) {
  const auto* value = body.if_contains(name);
  if (value == nullptr) return;
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (!error) target = number;
}

void read_flag_field(const json::object& body, const char* name, bool& target) {
  const auto* value = body.if_contains(name);
  if (value != nullptr && value->is_bool()) target = value->get_bool();
}

void read_text_field(const json::object& body, const char* name, std::string& target) {
  const auto* value = body.if_contains(name);
  if (value != nullptr && value->is_string()) target = std::string(value->get_string());
}

asio::awaitable<void> confirm_admin_request(HttpExchange& exchange, const std::string& subject) {
  log_event(Event::kEmulatorFault, {{"stand_in", subject}, {"faults", exchange.body()}});
  co_await exchange.respond(200, "application/json", "{}");
}

}  // namespace stoathold::emulator
