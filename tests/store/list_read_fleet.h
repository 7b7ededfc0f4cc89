/// @file
/// Nodes that all read one list from a store at the same time, without sockets.
///
/// The store has so many bytes a second, which all answers under way share; what a node has given
/// up is carried to its end all the same. Each node reads as `PartitionReplica` does: one read at a
/// time, from where the last one ended, for as many bytes as its bounds say.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "base/random.h"
#include "store/backoff.h"
#include "store/read_bounds.h"

namespace stoathold {

/// What is played.
struct ListReadSetup {
  int nodes = 0;
  std::uint64_t list_bytes = 0;
  double store_bytes_per_second = 80e6;  ///< Of all reads, as the users' sheets say.
  double link_bytes_per_second = 125e6;  ///< Of one node.
  double start_spread = 0;               ///< Seconds over which the nodes start.
  double lost_part = 0;                  ///< Of the answers: they never come.
  double silent_until = 0;               ///< Before that the store answers nobody.
  double zone_cut_until = 0;             ///< Before that every third node is answered nothing.
  double call_time = 1.0;                ///< Seconds after which a read is given up.
};

/// How it went.
struct ListReadResult {
  double first = 0;  ///< Seconds until a node has the whole list.
  double last = 0;   ///< Until all have.
  double carried_megabytes = 0;
  int calls = 0;
};

/// What a node asks for, as `PartitionReplica` keeps it.
struct ListReadPolicy {
  std::function<ReadBounds()> first;
  std::function<void(ReadBounds&, std::uint64_t bytes, Duration took, bool more)> answered;
};

/// Plays one start. Nothing in it depends on the machine: the same setup gives the same result.
class ListReadFleet {
 public:
  ListReadFleet(ListReadSetup setup, const ListReadPolicy& policy)
      : setup_(setup), policy_(policy), nodes_(static_cast<std::size_t>(setup.nodes)) {
    for (auto& node : nodes_) {
      node.bounds = policy.first();
      node.next_call = fraction() * setup.start_spread;
    }
  }

  ListReadResult play() {
    constexpr double kLongest = 60;
    while (now_ < kLongest && finished_ < setup_.nodes) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) begin(nodes_[i], i);
      carry();
      now_ += kStep;
    }
    if (finished_ < setup_.nodes) result_.last = kLongest;
    return result_;
  }

 private:
  static constexpr double kStep = 0.005;

  struct Node {
    ReadBounds bounds;
    double next_call = 0;
    std::uint64_t have = 0;
    std::uint64_t asked = 0;
    std::optional<double> left;  ///< Bytes still to come of the read under way.
    double sent = 0;
    bool heard = true;  ///< The read under way is answered.
    double pause = 0.1;
  };

  double fraction() { return static_cast<double>(random_.below(1000)) / 1000; }

  void begin(Node& node, std::size_t index) {
    if (node.left || node.have >= setup_.list_bytes || now_ < node.next_call) return;
    node.asked = std::min(node.bounds.bytes, setup_.list_bytes - node.have);
    node.left = static_cast<double>(node.asked);
    node.sent = now_;
    const bool cut = index % 3 == 0 && now_ < setup_.zone_cut_until;
    node.heard = now_ >= setup_.silent_until && !cut && fraction() >= setup_.lost_part;
    ++result_.calls;
  }

  void carry() {
    std::size_t under_way = given_up_.size();
    for (const Node& node : nodes_) under_way += node.left && node.heard ? 1 : 0;
    const double share =
        under_way == 0 ? 0
                       : std::min(setup_.store_bytes_per_second / static_cast<double>(under_way),
                                  setup_.link_bytes_per_second) *
                             kStep;
    for (double& left : given_up_) left -= take(share, left);
    std::erase_if(given_up_, [](double left) { return left <= 0; });
    for (Node& node : nodes_) {
      if (!node.left) continue;
      if (node.heard) *node.left -= take(share, *node.left);
      if (*node.left <= 0) {
        answered(node);
      } else if (now_ - node.sent >= setup_.call_time) {
        give_up(node);
      }
    }
  }

  double take(double share, double left) {
    const double bytes = std::min(share, left);
    result_.carried_megabytes += bytes / 1e6;
    return bytes;
  }

  void answered(Node& node) {
    const double end = now_ + kStep;
    node.have += node.asked;
    node.left.reset();
    node.pause = 0.1;
    const auto took =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(end - node.sent));
    policy_.answered(node.bounds, node.asked, took, node.have < setup_.list_bytes);
    node.next_call = end;
    if (node.have < setup_.list_bytes) return;
    if (finished_++ == 0) result_.first = end;
    result_.last = end;
  }

  void give_up(Node& node) {
    if (node.heard) given_up_.push_back(*node.left);
    node.left.reset();
    node.bounds.ask_for_less();
    // As `Backoff::next_after` does.
    const double wait = node.pause * (0.5 + fraction() / 2);
    node.next_call = now_ + std::max(wait - setup_.call_time, std::min(wait, 0.1) / 2);
    node.pause = std::min(node.pause * 2, 1.0);
  }

  ListReadSetup setup_;
  const ListReadPolicy& policy_;
  std::vector<Node> nodes_;
  std::vector<double> given_up_;  ///< Bytes that the store still carries in vain.
  Random random_{7};
  double now_ = 0;
  int finished_ = 0;
  ListReadResult result_;
};

/// Reads of 1 MB, halved after a silence.
inline ListReadPolicy whole_reads() {
  return {[] { return ReadBounds(); },
          [](ReadBounds& bounds, std::uint64_t, Duration, bool) { bounds.ask_for_more(); }};
}

/// Reads for as many bytes as came in time before: what `PartitionReplica` does.
inline ListReadPolicy learned_reads() {
  return {ReadBounds::of_list,
          [](ReadBounds& bounds, std::uint64_t bytes, Duration took, bool more) {
            if (more) {
              bounds.answered_in_part(bytes, took);
            } else {
              bounds.ask_for_more();
            }
          }};
}

}  // namespace stoathold
