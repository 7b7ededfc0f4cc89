#include "routing/origin_replicas.h"

#include <algorithm>
#include <map>

#include "base/ids.h"

namespace stoathold {
namespace {

/// Returns the items ordered by their rank for a stream, the first `count` of them.
template <typename Item>
std::vector<const Item*> ranked(const std::vector<Item>& items, StreamKey stream,
                                std::size_t count) {
  std::vector<const Item*> order;
  order.reserve(items.size());
  for (const Item& item : items) order.push_back(&item);
  const auto rank = [stream](const Item* item) { return mix_hashes(value_of(stream), item->hash); };
  const auto precedes = [&](const Item* left, const Item* right) {
    return rank(left) > rank(right);
  };
  const auto middle = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
  std::partial_sort(order.begin(), middle, order.end(), precedes);
  order.erase(middle, order.end());
  return order;
}

}  // namespace

void OriginReplicas::set_members(const std::vector<MemberName>& members, const std::string& self) {
  std::map<std::string, std::vector<Node>> by_zone;
  for (const MemberName& member : members) {
    std::vector<Node>& nodes = by_zone[member.zone];
    if (member.peer_address == self) continue;
    nodes.push_back({member.peer_address, stable_hash(member.peer_address)});
  }
  zones_.clear();
  for (auto& [zone, nodes] : by_zone) zones_.push_back({stable_hash(zone), std::move(nodes)});
}

std::vector<std::string> OriginReplicas::select(StreamKey stream, std::size_t count) const {
  std::vector<std::vector<const Node*>> nodes_by_zone;
  for (const Zone* zone : ranked(zones_, stream, kOriginCopies)) {
    nodes_by_zone.push_back(ranked(zone->nodes, stream, count));
  }
  std::vector<std::string> selected;
  for (std::size_t position = 0; position < count; ++position) {
    for (const auto& nodes : nodes_by_zone) {
      const bool wanted = position < nodes.size() && selected.size() < count;
      if (wanted) selected.push_back(nodes[position]->address);
    }
  }
  return selected;
}

}  // namespace stoathold
