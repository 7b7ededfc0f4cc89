/// @file
/// Serves the records of followed topics to other nodes.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/http.h"
#include "store/partition_replica.h"
#include "store/topic_cache.h"

namespace stoathold {

/// Answers reads of other nodes from this node's replicas. A node whose own reads of the log fail
/// refuses, so that its readers turn elsewhere. Not thread-safe. Caches must outlive it.
class TopicService {
 public:
  /// Adds a partition that this node follows.
  void add(std::shared_ptr<PartitionReplica> replica, TopicCache& cache);
  /// Returns whether a target is a read of a topic.
  [[nodiscard]] static bool handles(std::string_view target);
  /// Serves a read: 200 with a `TopicPage`, `kStatusLoading` if this node knows no record yet, 404
  /// if the partition is not followed, 410 if records since the requested offset were dropped, 503
  /// if this node cannot read the log.
  boost::asio::awaitable<void> serve(HttpExchange& exchange);

 private:
  struct FollowedPartition {
    std::shared_ptr<PartitionReplica> replica;
    TopicCache* cache = nullptr;
  };

  std::map<PartitionName, FollowedPartition> partitions_;
};

}  // namespace stoathold
