#include "gateway/origin_sharing.h"

#include "routing/member_name.h"

namespace stoathold {

OriginSharing::OriginSharing(GatewayContext& context, PeerLoads& peers)
    : context_(context), peers_(peers), timer_(context.executor) {}

void OriginSharing::start() {
  context_.origins.set_transport(
      [this](const std::string& address, const StreamOriginMessage& message) {
        peers_.send_origin_message(address, message);
      });
  peers_.set_origin_listener([this](const StreamOriginMessage& message, const std::string& sender) {
    context_.origins.handle(message, sender);
  });
  schedule_send();
}

void OriginSharing::set_members(const std::vector<std::string>& names) {
  std::vector<MemberName> members;
  for (const std::string& name : names) {
    const auto member = parse_member_name(name);
    if (member) members.push_back(*member);
  }
  context_.origins.set_members(members, peers_.address());
}

void OriginSharing::schedule_send() {
  timer_.expires_after(kSendInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    context_.origins.send_pending();
    schedule_send();
  });
}

}  // namespace stoathold
