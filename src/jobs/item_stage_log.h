/// @file
/// Periodically logs the stages of the open items of a node.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "jobs/item_stages.h"

namespace stoathold {

/// Writes one log line per interval while the table contains open jobs. Not thread-safe; must
/// outlive `run`.
class ItemStageLog {
 public:
  /// Returns the id of an item, given its job and index.
  using ItemIdLookup = std::function<std::string(const JobKey&, std::uint32_t)>;

  ItemStageLog(boost::asio::any_io_executor executor, const ItemStages& stages,
               ItemIdLookup item_id_lookup);

  /// Logs until `running` returns false.
  boost::asio::awaitable<void> run(std::function<bool()> running) const;

 private:
  void log_summary() const;

  boost::asio::any_io_executor executor_;
  const ItemStages& stages_;
  ItemIdLookup item_id_lookup_;
};

}  // namespace stoathold
