/// @file
/// Messages about batch items between shard owners and runner owners.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "core/log_records.h"

namespace stoathold {

/// Identifies one item of a batch job in a shard.
struct ItemKey {
  ShardId shard{};
  JobId job{};
  std::uint32_t index = 0;

  auto operator<=>(const ItemKey&) const = default;  // NOLINT(modernize-use-nullptr)

  template <class Archive>
  void serialize(Archive& archive) {
    archive(shard, job, index);
  }
};

/// Requests up to `max_items` items from a shard owner, one for each free runner slot.
struct BatchPull {
  std::vector<std::string> services;
  std::uint32_t max_items = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(services, max_items);
  }
};

/// One assigned item, with the text generated so far if it was preempted before.
struct AssignedItem {
  ItemKey key;
  std::string service;
  BatchItem item;
  std::uint32_t weight = 0;
  std::uint32_t resume_tokens = 0;
  std::string resume_text;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, service, item, weight, resume_tokens, resume_text);
  }
};

struct BatchAssign {
  std::vector<AssignedItem> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/// A finished item, or, if `finished` is false, an unfinished one returned with its progress.
struct ReturnedItem {
  ItemKey key;
  bool finished = false;
  std::string text;
  std::uint32_t tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, finished, text, tokens);
  }
};

struct BatchReturn {
  std::vector<ReturnedItem> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/// Acknowledges returned items, so that the sender stops resending them.
struct BatchReturnAck {
  std::vector<ItemKey> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/// Renews the assignments of items that the sender still works on, so that they do not expire.
struct BatchRenew {
  std::vector<ItemKey> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/// Requests that a runner owner stop and discard the listed items.
struct BatchStop {
  std::vector<ItemKey> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/// Notifies a runner owner of an online stream start before the runner's load report shows it.
struct OnlineNotice {
  RunnerId runner{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(runner);
  }
};

}  // namespace stoathold
