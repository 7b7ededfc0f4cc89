#include "routing/configuration_catch_up.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>

#include "base/event_log.h"
#include "base/random.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// The store delivers a new record to all nodes within about 30 ms; a node that stays behind for
/// this time has lost contact with it.
constexpr Duration kStoreDeliveryGrace = std::chrono::milliseconds(200);
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
/// Timeout for a request to a node that must read the log first.
constexpr Duration kConfirmTimeout = std::chrono::milliseconds(200);
/// Maximum number of nodes that are queried for one confirmation.
constexpr std::size_t kMaxConfirmingPeers = 2;
constexpr int kNoContent = 204;

}  // namespace

ConfigurationCatchUp::ConfigurationCatchUp(const asio::any_io_executor& executor,
                                           CurrentVersion current, Apply apply)
    : executor_(executor),
      client_(executor, LoopThreads::kOne),
      current_version_(std::move(current)),
      apply_(std::move(apply)) {}

void ConfigurationCatchUp::on_version_advertised(const std::string& address,
                                                 std::uint64_t version) {
  const std::uint64_t own_version = current_version_();
  if (own_version == 0 || version <= own_version) return;
  const TimePoint now = monotonic_now();
  if (outdated_version_ != own_version) outdated_since_ = now;
  outdated_version_ = own_version;
  if (fetching_ || now - outdated_since_ < kStoreDeliveryGrace) return;
  fetching_ = true;
  asio::co_spawn(executor_, fetch(address), asio::detached);
}

bool ConfigurationCatchUp::apply_reply(HttpReply& reply) {
  StoredRecord record;
  const std::string_view offset = reply.header(kRecordOffsetHeader);
  const auto parsed = std::from_chars(offset.data(), offset.data() + offset.size(), record.offset);
  if (!reply.ok() || parsed.ec != std::errc{}) return false;
  record.value = std::move(reply.body);
  apply_(record);
  return true;
}

asio::awaitable<bool> ConfigurationCatchUp::confirm(std::vector<std::string> addresses,
                                                    RecordOffset held_offset) {
  for (std::size_t attempts = 0; attempts < kMaxConfirmingPeers && !addresses.empty(); ++attempts) {
    HttpCall call;
    call.address = take_random(addresses);
    call.method = "GET";
    call.target = kConfirmedConfigurationTarget;
    call.headers.push_back({kHeldOffsetHeader, std::to_string(held_offset)});
    call.timeout = kConfirmTimeout;
    const std::string peer = call.address;
    const std::uint64_t previous_version = current_version_();
    HttpReply reply = co_await client_.call(std::move(call));
    const bool unchanged = reply.progress == HttpProgress::kAnswered && reply.status == kNoContent;
    const bool confirmed = unchanged || apply_reply(reply);
    log_event(Event::kConfigurationFromPeer, {{"peer", peer},
                                              {"status", std::to_string(reply.status)},
                                              {"before", std::to_string(previous_version)},
                                              {"version", std::to_string(current_version_())}});
    if (confirmed) co_return true;
  }
  co_return false;
}

asio::awaitable<void> ConfigurationCatchUp::fetch(std::string address) {
  HttpCall call;
  call.address = address;
  call.method = "GET";
  call.target = kConfigurationTarget;
  call.timeout = kCallTimeout;
  const std::uint64_t previous_version = current_version_();
  HttpReply reply = co_await client_.call(std::move(call));
  apply_reply(reply);
  log_event(Event::kConfigurationFromPeer, {{"peer", address},
                                            {"status", std::to_string(reply.status)},
                                            {"before", std::to_string(previous_version)},
                                            {"version", std::to_string(current_version_())}});
  fetching_ = false;
}

}  // namespace stoathold
