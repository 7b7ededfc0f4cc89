/// @file
/// Simulation of nodes that all read one list from a store at the same time, without sockets.
///
/// Concurrent responses share the store's bandwidth, and the response to an abandoned read is still
/// transferred completely. Each node reads as `PartitionReplica` does: one read at a time, starting
/// where the previous one ended, for as many bytes as its limits allow.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "base/random.h"
#include "store/adaptive_read_limits.h"
#include "store/backoff.h"

namespace stoathold {

/// Parameters of a simulation.
struct ListReadSetup {
  int nodes = 0;
  std::uint64_t list_bytes = 0;
  double store_bytes_per_second = 80e6;  ///< For all reads; the store's specified bandwidth.
  double link_bytes_per_second = 125e6;  ///< Bandwidth of one node's link.
  double start_window = 0;               ///< Seconds over which the nodes' starts are spread.
  double loss_probability = 0;           ///< Probability that a response is lost.
  double store_outage_end = 0;           ///< Until then the store does not respond.
  double zone_partition_end = 0;         ///< Until then every third node gets no response.
  double read_timeout = 1.0;             ///< Seconds after which a read times out.
};

/// Result of a simulation.
struct ListReadResult {
  double first = 0;  ///< Seconds until the first node has the whole list.
  double last = 0;   ///< Seconds until all nodes have it.
  double transferred_megabytes = 0;
  int calls = 0;
};

/// Strategy that determines the size of a node's reads.
struct ListReadPolicy {
  std::function<AdaptiveReadLimits()> first;
  std::function<void(AdaptiveReadLimits&, std::uint64_t bytes, Duration duration, bool more)>
      on_response;
};

/// Simulates one simultaneous start. Deterministic: the same setup always gives the same result.
class ListReadSimulation {
 public:
  ListReadSimulation(ListReadSetup setup, const ListReadPolicy& policy)
      : setup_(setup), policy_(policy), nodes_(static_cast<std::size_t>(setup.nodes)) {
    for (auto& node : nodes_) {
      node.bounds = policy.first();
      node.next_read_at = random_fraction() * setup.start_window;
    }
  }

  ListReadResult run() {
    constexpr double kMaxSeconds = 60;
    while (now_ < kMaxSeconds && finished_ < setup_.nodes) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) start_read(nodes_[i], i);
      transfer_step();
      now_ += kStep;
    }
    if (finished_ < setup_.nodes) result_.last = kMaxSeconds;
    return result_;
  }

 private:
  static constexpr double kStep = 0.005;

  struct Node {
    AdaptiveReadLimits bounds;
    double next_read_at = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t requested_bytes = 0;
    std::optional<double> remaining_bytes;  ///< Outstanding bytes of the current read.
    double sent_at = 0;
    bool reachable = true;  ///< Whether the current read gets a response.
    double next_backoff = 0.1;
  };

  double random_fraction() { return static_cast<double>(random_.below(1000)) / 1000; }

  void start_read(Node& node, std::size_t index) {
    if (node.remaining_bytes || node.received_bytes >= setup_.list_bytes ||
        now_ < node.next_read_at)
      return;
    node.requested_bytes = std::min(node.bounds.bytes, setup_.list_bytes - node.received_bytes);
    node.remaining_bytes = static_cast<double>(node.requested_bytes);
    node.sent_at = now_;
    const bool partitioned = index % 3 == 0 && now_ < setup_.zone_partition_end;
    node.reachable = now_ >= setup_.store_outage_end && !partitioned &&
                     random_fraction() >= setup_.loss_probability;
    ++result_.calls;
  }

  void transfer_step() {
    std::size_t active_reads = abandoned_reads_.size();
    for (const Node& node : nodes_) active_reads += node.remaining_bytes && node.reachable ? 1 : 0;
    const double step_bytes =
        active_reads == 0
            ? 0
            : std::min(setup_.store_bytes_per_second / static_cast<double>(active_reads),
                       setup_.link_bytes_per_second) *
                  kStep;
    for (double& remaining_bytes : abandoned_reads_)
      remaining_bytes -= consume(step_bytes, remaining_bytes);
    std::erase_if(abandoned_reads_, [](double remaining_bytes) { return remaining_bytes <= 0; });
    for (Node& node : nodes_) {
      if (!node.remaining_bytes) continue;
      if (node.reachable) *node.remaining_bytes -= consume(step_bytes, *node.remaining_bytes);
      if (*node.remaining_bytes <= 0) {
        on_response(node);
      } else if (now_ - node.sent_at >= setup_.read_timeout) {
        abandon_read(node);
      }
    }
  }

  double consume(double step_bytes, double remaining_bytes) {
    const double bytes = std::min(step_bytes, remaining_bytes);
    result_.transferred_megabytes += bytes / 1e6;
    return bytes;
  }

  void on_response(Node& node) {
    const double end = now_ + kStep;
    node.received_bytes += node.requested_bytes;
    node.remaining_bytes.reset();
    node.next_backoff = 0.1;
    const auto duration =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(end - node.sent_at));
    policy_.on_response(node.bounds, node.requested_bytes, duration,
                        node.received_bytes < setup_.list_bytes);
    node.next_read_at = end;
    if (node.received_bytes < setup_.list_bytes) return;
    if (finished_++ == 0) result_.first = end;
    result_.last = end;
  }

  void abandon_read(Node& node) {
    if (node.reachable) abandoned_reads_.push_back(*node.remaining_bytes);
    node.remaining_bytes.reset();
    node.bounds.decrease();
    // Same computation as `Backoff::next_after_attempt`.
    const double wait = node.next_backoff * (0.5 + random_fraction() / 2);
    node.next_read_at = now_ + std::max(wait - setup_.read_timeout, std::min(wait, 0.1) / 2);
    node.next_backoff = std::min(node.next_backoff * 2, 1.0);
  }

  ListReadSetup setup_;
  const ListReadPolicy& policy_;
  std::vector<Node> nodes_;
  std::vector<double> abandoned_reads_;  ///< Bytes of abandoned reads still to be transferred.
  Random random_{7};
  double now_ = 0;
  int finished_ = 0;
  ListReadResult result_;
};

/// Reads of 1 MB, halved after each timeout.
inline ListReadPolicy fixed_size_reads() {
  return {[] { return AdaptiveReadLimits(); },
          [](AdaptiveReadLimits& bounds, std::uint64_t, Duration, bool) { bounds.increase(); }};
}

/// Reads sized by the throughput of earlier ones, as in `PartitionReplica`.
inline ListReadPolicy adaptive_reads() {
  return {AdaptiveReadLimits::for_full_read,
          [](AdaptiveReadLimits& bounds, std::uint64_t bytes, Duration duration, bool more) {
            if (more) {
              bounds.on_partial_read(bytes, duration);
            } else {
              bounds.increase();
            }
          }};
}

}  // namespace stoathold
