// Queries on the membership and the derived lists of ready members.
#include <algorithm>
#include <mutex>
#include <set>

#include "core/membership.h"

namespace stoathold {
namespace {

bool is_ready(const MemberRecord& record) {
  return record.state == MemberState::kReady;
}

}  // namespace

void Membership::set_self_state(MemberState state) {
  const std::scoped_lock lock(mutex_);
  if (self_.state == state) return;
  self_.state = state;
  expedite_heartbeat_ = true;
  refresh_ready();
}

void Membership::set_self_log_reachable(bool reachable) {
  const std::scoped_lock lock(mutex_);
  if (self_.log_reachable == reachable) return;
  self_.log_reachable = reachable;
  expedite_heartbeat_ = true;
  refresh_ready();
}

void Membership::expedite_sends() {
  const std::scoped_lock lock(mutex_);
  expedite_heartbeat_ = true;
  expedite_summary_ = true;
}

void Membership::make_sends_due() {
  const std::scoped_lock lock(mutex_);
  next_heartbeat_ = TimePoint{};
  next_summary_ = TimePoint{};
}

MemberRecord Membership::self() const {
  const std::scoped_lock lock(mutex_);
  return self_;
}

void Membership::refresh_ready() {
  ++version_;
  expedite_summary_ = true;
  ready_.clear();
  ready_in_zone_.clear();
  addresses_.clear();
  if (is_ready(self_)) ready_in_zone_.push_back(self_.id);
  for (const auto& [id, entry] : zone_members_) {
    addresses_[id] = entry.record.peer_address;
    if (is_ready(entry.record) && entry.liveness == Liveness::kAlive) ready_in_zone_.push_back(id);
  }
  ready_ = ready_in_zone_;
  for (const auto& [name, zone] : foreign_zones_) {
    for (const auto& member : zone.members) {
      addresses_[member.id] = member.peer_address;
      if (zone.reachable && is_ready(member)) ready_.push_back(member.id);
    }
  }
  std::sort(ready_.begin(), ready_.end());
  std::sort(ready_in_zone_.begin(), ready_in_zone_.end());
  refresh_shard_members();
}

void Membership::refresh_shard_members() {
  log_unreachable_members_.clear();
  const auto record_log_reachability = [this](const MemberRecord& record) {
    if (!record.log_reachable) log_unreachable_members_.insert(record.id);
  };
  record_log_reachability(self_);
  for (const auto& [id, entry] : zone_members_) record_log_reachability(entry.record);
  for (const auto& [name, zone] : foreign_zones_) {
    for (const auto& member : zone.members) record_log_reachability(member);
  }
  shard_members_ = ready_;
  std::erase_if(shard_members_,
                [this](NodeId id) { return log_unreachable_members_.contains(id); });
  if (shard_members_.empty()) shard_members_ = ready_;
  shard_version_ = 0;
  for (const NodeId id : shard_members_) shard_version_ = mix_hashes(shard_version_, value_of(id));
}

std::vector<NodeId> Membership::shard_members() const {
  const std::scoped_lock lock(mutex_);
  return shard_members_;
}

bool Membership::reaches_log(NodeId node) const {
  const std::scoped_lock lock(mutex_);
  return !log_unreachable_members_.contains(node);
}

std::vector<NodeId> Membership::ready_zone_members() const {
  const std::scoped_lock lock(mutex_);
  return ready_in_zone_;
}

std::vector<NodeId> Membership::ready_members_of(std::string_view zone) const {
  const std::scoped_lock lock(mutex_);
  if (zone == self_.zone) return ready_in_zone_;
  std::vector<NodeId> ready;
  const auto found = foreign_zones_.find(zone);
  if (found == foreign_zones_.end() || !found->second.reachable) return ready;
  for (const auto& member : found->second.members) {
    if (is_ready(member)) ready.push_back(member.id);
  }
  return ready;
}

std::uint64_t Membership::shard_version() const {
  const std::scoped_lock lock(mutex_);
  return shard_version_;
}

Liveness Membership::liveness(NodeId node) const {
  const std::scoped_lock lock(mutex_);
  if (node == self_.id) return Liveness::kAlive;
  if (const auto found = zone_members_.find(node); found != zone_members_.end()) {
    if (found->second.record.state == MemberState::kLeft) return Liveness::kDead;
    return found->second.liveness;
  }
  for (const auto& [name, zone] : foreign_zones_) {
    for (const auto& member : zone.members) {
      if (member.id != node || member.state == MemberState::kLeft) continue;
      return zone.reachable ? Liveness::kAlive : Liveness::kUnreachable;
    }
  }
  return Liveness::kDead;
}

bool Membership::may_finish_work(NodeId node) const {
  const Liveness member_liveness = liveness(node);
  return member_liveness == Liveness::kAlive || member_liveness == Liveness::kSuspect;
}

std::vector<std::pair<MemberRecord, Liveness>> Membership::list() const {
  const std::scoped_lock lock(mutex_);
  std::vector<std::pair<MemberRecord, Liveness>> members{{self_, Liveness::kAlive}};
  for (const auto& [id, entry] : zone_members_) members.emplace_back(entry.record, entry.liveness);
  for (const auto& [name, zone] : foreign_zones_) {
    for (const auto& member : zone.members) {
      members.emplace_back(member, zone.reachable ? Liveness::kAlive : Liveness::kUnreachable);
    }
  }
  return members;
}

std::string Membership::address_of(NodeId node) const {
  if (node == self_.id) return self_.peer_address;
  if (const auto known = addresses_.find(node); known != addresses_.end()) return known->second;
  for (const auto& listed : listed_) {
    if (node_id_from_name(listed.name) == node) return listed.peer_address;
  }
  return {};
}

void Membership::send(NodeId target, PeerMessage message, Effects& effects) const {
  const std::scoped_lock lock(mutex_);
  const std::string address = address_of(target);
  if (!address.empty()) effects.push_back(SendToPeer{target, address, std::move(message)});
}

std::pair<std::size_t, std::size_t> Membership::table_size() const {
  const std::scoped_lock lock(mutex_);
  std::size_t rows = zone_members_.size();
  for (const auto& [name, zone] : foreign_zones_) rows += zone.members.size();
  return {rows, rows * (sizeof(MemberEntry) + sizeof(NodeId) * 4)};
}

}  // namespace stoathold
