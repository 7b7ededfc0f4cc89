#include "routing/configuration_catch_up.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>

#include "base/event_log.h"
#include "base/random.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// The store delivers a new record to all nodes within some 30 ms (measured); a node that is behind
/// for longer has lost touch with it.
constexpr Duration kStoreHeadStart = std::chrono::milliseconds(200);
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
/// For a node that has to ask the log first.
constexpr Duration kConfirmTimeout = std::chrono::milliseconds(200);
/// Nodes that are asked for one confirmation.
constexpr std::size_t kMaxPeersAsked = 2;
constexpr int kNoContent = 204;

}  // namespace

ConfigurationCatchUp::ConfigurationCatchUp(const asio::any_io_executor& executor,
                                           CurrentVersion current, Apply apply)
    : executor_(executor),
      client_(executor, LoopThreads::kOne),
      current_(std::move(current)),
      apply_(std::move(apply)) {}

void ConfigurationCatchUp::advertised(const std::string& address, std::uint64_t version) {
  const std::uint64_t own = current_();
  if (own == 0 || version <= own) return;
  const TimePoint now = monotonic_now();
  if (behind_at_ != own) behind_since_ = now;
  behind_at_ = own;
  if (fetching_ || now - behind_since_ < kStoreHeadStart) return;
  fetching_ = true;
  asio::co_spawn(executor_, fetch(address), asio::detached);
}

bool ConfigurationCatchUp::take(HttpReply& reply) {
  StoredRecord record;
  const std::string_view offset = reply.header(kRecordOffsetHeader);
  const auto parsed = std::from_chars(offset.data(), offset.data() + offset.size(), record.offset);
  if (!reply.ok() || parsed.ec != std::errc{}) return false;
  record.value = std::move(reply.body);
  apply_(record);
  return true;
}

asio::awaitable<bool> ConfigurationCatchUp::confirm(std::vector<std::string> addresses,
                                                    RecordOffset in_force) {
  for (std::size_t asked = 0; asked < kMaxPeersAsked && !addresses.empty(); ++asked) {
    HttpCall call;
    call.address = take_random(addresses);
    call.method = "GET";
    call.target = kConfirmedConfigurationTarget;
    call.headers.push_back({kHeldOffsetHeader, std::to_string(in_force)});
    call.timeout = kConfirmTimeout;
    const std::string peer = call.address;
    const std::uint64_t before = current_();
    HttpReply reply = co_await client_.call(std::move(call));
    const bool unchanged = reply.progress == HttpProgress::kAnswered && reply.status == kNoContent;
    const bool confirmed = unchanged || take(reply);
    log_event(Event::kConfigurationFromPeer, {{"peer", peer},
                                              {"status", std::to_string(reply.status)},
                                              {"before", std::to_string(before)},
                                              {"version", std::to_string(current_())}});
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
  const std::uint64_t before = current_();
  HttpReply reply = co_await client_.call(std::move(call));
  take(reply);
  log_event(Event::kConfigurationFromPeer, {{"peer", address},
                                            {"status", std::to_string(reply.status)},
                                            {"before", std::to_string(before)},
                                            {"version", std::to_string(current_())}});
  fetching_ = false;
}

}  // namespace stoathold
