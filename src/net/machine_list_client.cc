#include "net/machine_list_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr int kNotModified = 304;

std::string string_field(const json::object& object, std::string_view field) {
  const auto* value = object.if_contains(field);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

class HttpMachineListClient final : public MachineListClient {
 public:
  HttpMachineListClient(const asio::any_io_executor& executor, std::string address,
                        Duration timeout)
      : strand_(asio::make_strand(executor)),
        state_(std::make_shared<State>(executor)),
        address_(std::move(address)),
        timeout_(timeout) {}

  void read(Done done) override {
    HttpCall call;
    call.address = address_;
    call.method = "GET";
    call.target = "/v1/machines";
    call.timeout = timeout_;
    asio::co_spawn(strand_, fetch(state_, std::move(call), std::move(done)), asio::detached);
  }

 private:
  /// Used on the strand only.
  struct State {
    explicit State(const asio::any_io_executor& executor) : client(executor) {}
    HttpClient client;
    std::string etag;
  };

  static asio::awaitable<void> fetch(std::shared_ptr<State> state, HttpCall call, Done done) {
    if (!state->etag.empty()) call.headers.push_back({"if-none-match", state->etag});
    const HttpReply reply = co_await state->client.call(std::move(call));
    MachineList list;
    if (reply.progress == HttpProgress::kAnswered && reply.status == kNotModified) {
      done(MachineListStatus::kUnchanged, list);
    } else if (reply.ok() && parse_machine_list(reply.body, list)) {
      state->etag = std::string(reply.header("etag"));
      done(MachineListStatus::kChanged, list);
    } else {
      done(MachineListStatus::kUnreadable, list);
    }
  }

  asio::strand<asio::any_io_executor> strand_;
  std::shared_ptr<State> state_;
  const std::string address_;
  const Duration timeout_;
};

}  // namespace

bool parse_machine_list(const std::string& body, MachineList& list) {
  boost::system::error_code error;
  const auto value = json::parse(body, error);
  if (error || !value.is_object()) return false;
  const auto* machines = value.get_object().if_contains("machines");
  if (machines == nullptr || !machines->is_array()) return false;
  for (const auto& item : machines->get_array()) {
    if (!item.is_object()) return false;
    const auto& machine = item.get_object();
    const std::string role = string_field(machine, "role");
    const bool leaving = string_field(machine, "state") == "leaving";
    const std::string name = string_field(machine, "name");
    const std::string address = string_field(machine, "address");
    if (name.empty() || address.empty()) return false;
    if (role == "node") {
      list.nodes.push_back(
          {name, string_field(machine, "region"), string_field(machine, "zone"), address, leaving});
    } else if (role == "runner") {
      list.runners.push_back({name, string_field(machine, "region"), string_field(machine, "zone"),
                              address, string_field(machine, "service"), leaving});
    }
  }
  return true;
}

std::unique_ptr<MachineListClient> make_http_machine_list_client(
    const asio::any_io_executor& executor, std::string address, Duration timeout) {
  return std::make_unique<HttpMachineListClient>(executor, std::move(address), timeout);
}

}  // namespace stoathold
