/// @file
/// Messages between shard owners and runners' owners about batch items.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "core/log_records.h"

namespace stoathold {

/// Names one item of one job in one shard.
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

/// A runner's owner asks a shard owner for work for free places.
struct BatchPull {
  std::vector<std::string> services;
  std::uint32_t places = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(services, places);
  }
};

/// One item handed out, with the text generated so far if it was paused before.
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

/// A finished item, or (`finished` false) one handed back with its progress.
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

/// Confirms that the listed items need not be returned again.
struct BatchReturnAck {
  std::vector<ItemKey> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/// Says which items the sender still works on, so that they are not handed out again.
struct BatchRenew {
  std::vector<ItemKey> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/// Tells a runner's owner to stop the listed items and forget them.
struct BatchStop {
  std::vector<ItemKey> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/// Tells a runner's owner that an online stream starts there, ahead of its load report.
struct OnlineNotice {
  RunnerId runner{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(runner);
  }
};

}  // namespace stoathold
