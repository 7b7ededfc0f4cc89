#include "core/membership.h"

#include <algorithm>
#include <mutex>
#include <set>

namespace stoathold {
namespace {

std::uint64_t hash_members(const std::vector<MemberRecord>& members) {
  std::uint64_t sum = 0;
  for (const auto& member : members) {
    const std::uint64_t identity = mix_hashes(value_of(member.id), value_of(member.incarnation));
    const std::uint64_t state_code =
        static_cast<std::uint64_t>(member.state) * 2 + (member.log_reachable ? 1 : 0);
    sum += mix_hashes(identity, state_code + 1);
  }
  return sum;
}

bool has_version(const DigestRequest& request, const std::string& zone, std::uint64_t version) {
  return std::any_of(request.known.begin(), request.known.end(),
                     [&](const ZoneVersion& zone_version) {
                       return zone_version.zone == zone && zone_version.version == version;
                     });
}

}  // namespace

Membership::Membership(MemberRecord self, const Knobs& knobs)
    : knobs_(knobs), self_(std::move(self)) {
  refresh_ready();
}

void Membership::on_machine_list(const std::vector<ListedNode>& nodes) {
  const std::scoped_lock lock(mutex_);
  listed_ = nodes;
}

void Membership::on_heartbeat(const Heartbeat& heartbeat, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  const auto& sender = heartbeat.sender;
  if (sender.id == self_.id || sender.zone != self_.zone) return;
  auto [position, inserted] = zone_members_.try_emplace(sender.id);
  auto& entry = position->second;
  if (!inserted && sender.incarnation < entry.record.incarnation) return;
  const bool same_start = entry.record.incarnation == sender.incarnation;
  if (!inserted && same_start && entry.record.state == MemberState::kLeft) return;
  const bool changed = inserted || entry.record != sender || entry.liveness != Liveness::kAlive;
  entry.record = sender;
  entry.last_receive_time = now;
  entry.liveness = Liveness::kAlive;
  if (changed) refresh_ready();
  if (heartbeat.foreign_view != 0) compare_foreign_view(heartbeat, now, effects);
}

void Membership::compare_foreign_view(const Heartbeat& heartbeat, TimePoint now, Effects& effects) {
  // A relay accepts only information received directly from the other zones. If two relays accepted
  // each other's view, they would keep an unreachable zone alive indefinitely.
  if (self_is_relay()) return;
  if (heartbeat.foreign_view == foreign_view()) {
    for (auto& [name, zone] : foreign_zones_) {
      if (!zone.reachable) continue;
      zone.last_receive_time = now;
      zone.confirming_relays.insert(heartbeat.sender.id);
    }
    return;
  }
  DigestRequest request;
  for (const auto& [name, zone] : foreign_zones_) {
    if (zone.reachable) request.known.push_back({name, zone.version});
  }
  effects.push_back(SendToPeer{heartbeat.sender.id, heartbeat.sender.peer_address, request});
}

void Membership::on_summary(const ZoneSummary& summary, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  if (summary.zone == self_.zone) return;
  auto& zone = foreign_zones_[summary.zone];
  zone.last_receive_time = now;
  if (!zone.reachable) {
    zone.reachable = true;
    refresh_ready();
  }
  if (zone.version == summary.digest_version) return;
  DigestRequest request;
  request.own_zone_only = true;
  const std::string address = address_of(summary.sender);
  if (!address.empty()) effects.push_back(SendToPeer{summary.sender, address, request});
}

void Membership::store_digest(const ZoneDigest& digest, TimePoint now) {
  if (digest.zone == self_.zone) return;
  auto& zone = foreign_zones_[digest.zone];
  zone.last_receive_time = now;
  zone.reachable = true;
  zone.version = digest.version;
  zone.members = digest.members;
  expedite_heartbeat_ = true;
}

void Membership::on_digest(const ZoneDigest& digest, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  store_digest(digest, now);
  refresh_ready();
}

void Membership::on_foreign_view(NodeId relay, const ForeignView& view, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  for (const auto& digest : view.digests) store_digest(digest, now);
  refresh_ready();
  if (self_is_relay()) return;
  for (auto& [name, zone] : foreign_zones_) {
    const auto matches_zone = [&zone_name = name](const ZoneVersion& zone_version) {
      return zone_version.zone == zone_name;
    };
    if (std::any_of(view.reachable.begin(), view.reachable.end(), matches_zone)) {
      zone.confirming_relays.insert(relay);
      if (zone.reachable) zone.last_receive_time = now;
      continue;
    }
    zone.confirming_relays.erase(relay);
    if (zone.confirming_relays.empty()) zone.reachable = false;
  }
  refresh_ready();
}

void Membership::on_digest_request(NodeId from, const DigestRequest& request,
                                   Effects& effects) const {
  const std::scoped_lock lock(mutex_);
  const std::string address = address_of(from);
  if (address.empty()) return;
  if (request.own_zone_only) {
    const auto members = zone_records();
    ZoneDigest digest{self_.zone, hash_members(members), members};
    effects.push_back(SendToPeer{from, address, std::move(digest)});
    return;
  }
  ForeignView view;
  for (const auto& [name, zone] : foreign_zones_) {
    if (!zone.reachable) continue;
    view.reachable.push_back({name, zone.version});
    if (has_version(request, name, zone.version)) continue;
    view.digests.push_back({name, zone.version, zone.members});
  }
  effects.push_back(SendToPeer{from, address, std::move(view)});
}

bool Membership::tick(TimePoint now) {
  const std::scoped_lock lock(mutex_);
  bool changed = false;
  for (auto& [id, entry] : zone_members_) {
    const Duration time_since_heartbeat = now - entry.last_receive_time;
    Liveness new_liveness = Liveness::kAlive;
    if (time_since_heartbeat >= knobs_.suspect_timeout) new_liveness = Liveness::kSuspect;
    if (time_since_heartbeat >= knobs_.dead_timeout) new_liveness = Liveness::kDead;
    if (new_liveness != entry.liveness) changed = true;
    entry.liveness = new_liveness;
  }
  const auto is_expired = [&](const auto& item) {
    return now - item.second.last_receive_time > knobs_.dead_member_retention;
  };
  std::erase_if(zone_members_, is_expired);
  for (auto& [name, zone] : foreign_zones_) {
    if (!zone.reachable || now - zone.last_receive_time < knobs_.zone_unreachable_timeout) continue;
    changed = true;
    zone.reachable = false;
    zone.confirming_relays.clear();
  }
  if (changed) {
    refresh_ready();
    expedite_heartbeat_ = true;
  }
  return changed;
}

std::vector<MemberRecord> Membership::zone_records() const {
  std::vector<MemberRecord> records{self_};
  for (const auto& [id, entry] : zone_members_) {
    if (entry.liveness != Liveness::kDead) records.push_back(entry.record);
  }
  std::sort(records.begin(), records.end(),
            [](const auto& left, const auto& right) { return left.id < right.id; });
  return records;
}

std::vector<NodeId> Membership::relays_of(std::string_view zone,
                                          const std::vector<MemberRecord>& members) const {
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  const std::uint64_t zone_hash = stable_hash(zone);
  for (const auto& member : members) {
    // A relay that leaves still sends summaries for its zone, to announce its own exit.
    if (member.state == MemberState::kLeft && member.id != self_.id) continue;
    ranked.emplace_back(mix_hashes(zone_hash, value_of(member.id)), member.id);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > knobs_.relays_per_zone) ranked.resize(knobs_.relays_per_zone);
  std::vector<NodeId> relays;
  for (const auto& [rank, id] : ranked) relays.push_back(id);
  return relays;
}

bool Membership::self_is_relay() const {
  const auto relays = relays_of(self_.zone, zone_records());
  return std::find(relays.begin(), relays.end(), self_.id) != relays.end();
}

bool Membership::is_relay() const {
  const std::scoped_lock lock(mutex_);
  return self_is_relay();
}

std::uint64_t Membership::foreign_view() const {
  std::uint64_t sum = 1;
  for (const auto& [name, zone] : foreign_zones_) {
    if (zone.reachable) sum += mix_hashes(stable_hash(name), zone.version);
  }
  return sum;
}

std::uint64_t Membership::foreign_view_if_relay() const {
  const std::scoped_lock lock(mutex_);
  return self_is_relay() ? foreign_view() : 0;
}

bool Membership::heartbeat_due_locked(TimePoint now) const {
  const bool early = expedite_heartbeat_ && now - last_heartbeat_ >= knobs_.min_early_send_interval;
  return now >= next_heartbeat_ || early;
}

bool Membership::heartbeat_due(TimePoint now) const {
  const std::scoped_lock lock(mutex_);
  return heartbeat_due_locked(now);
}

bool Membership::summary_due(TimePoint now) const {
  const std::scoped_lock lock(mutex_);
  const bool early = expedite_summary_ && now - last_summary_ >= knobs_.min_early_send_interval;
  return now >= next_summary_ || early;
}

std::uint64_t Membership::version() const {
  const std::scoped_lock lock(mutex_);
  return version_;
}

void Membership::send_heartbeats(const Heartbeat& prototype, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  if (!heartbeat_due_locked(now)) return;
  next_heartbeat_ = now + knobs_.heartbeat_period;
  last_heartbeat_ = now;
  expedite_heartbeat_ = false;
  Heartbeat heartbeat = prototype;
  heartbeat.sender = self_;
  std::set<NodeId> sent_to;
  for (const auto& [id, entry] : zone_members_) {
    if (entry.record.state == MemberState::kLeft) continue;
    sent_to.insert(id);
    effects.push_back(SendToPeer{id, entry.record.peer_address, heartbeat});
  }
  for (const auto& node : listed_) {
    const NodeId id = node_id_from_name(node.name);
    if (node.zone != self_.zone || id == self_.id || !sent_to.insert(id).second) continue;
    effects.push_back(SendToPeer{id, node.peer_address, heartbeat});
  }
}

std::vector<std::string> Membership::summary_targets(bool to_all_relays) const {
  std::map<std::string, std::vector<MemberRecord>> zones;
  for (const auto& node : listed_) {
    if (node.zone == self_.zone) continue;
    MemberRecord record;
    record.id = node_id_from_name(node.name);
    record.peer_address = node.peer_address;
    zones[node.zone].push_back(record);
  }
  for (const auto& [name, zone] : foreign_zones_) {
    if (zone.reachable && !zone.members.empty()) zones[name] = zone.members;
  }
  const auto own_relays = relays_of(self_.zone, zone_records());
  const auto own = std::find(own_relays.begin(), own_relays.end(), self_.id);
  const auto own_rank = static_cast<std::size_t>(own - own_relays.begin());
  std::vector<std::string> targets;
  for (const auto& [name, members] : zones) {
    const auto relays = relays_of(name, members);
    for (std::size_t rank = 0; rank < relays.size(); ++rank) {
      const bool is_scheduled = (summary_round_ + own_rank + rank) % relays.size() == 0;
      if (!to_all_relays && !is_scheduled) continue;
      const auto found = std::find_if(members.begin(), members.end(), [&](const auto& member) {
        return member.id == relays[rank];
      });
      targets.push_back(found->peer_address);
    }
  }
  return targets;
}

void Membership::send_summaries(const ZoneSummary& prototype, TimePoint now, Effects& effects) {
  const std::scoped_lock lock(mutex_);
  if (!self_is_relay()) {
    next_summary_ = now + knobs_.summary_period;
    expedite_summary_ = false;
    return;
  }
  const auto members = zone_records();
  const std::uint64_t version = hash_members(members);
  const bool digest_changed = version != sent_digest_version_;
  next_summary_ = now + knobs_.summary_period;
  last_summary_ = now;
  sent_digest_version_ = version;
  ZoneSummary summary = prototype;
  summary.sender = self_.id;
  summary.zone = self_.zone;
  summary.digest_version = version;
  ++summary_round_;
  const bool to_all = digest_changed || expedite_summary_;
  expedite_summary_ = false;
  for (const auto& address : summary_targets(to_all)) {
    effects.push_back(SendToPeer{NodeId{}, address, summary});
    if (digest_changed)
      effects.push_back(SendToPeer{NodeId{}, address, ZoneDigest{self_.zone, version, members}});
  }
}

}  // namespace stoathold
