/// @file
/// Tells regularly in the log where the open items of a node are.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "jobs/item_stages.h"

namespace stoathold {

/// Writes one line at a steady pace while the table holds jobs. Used on one thread; outlives `run`.
class ItemStageLog {
 public:
  /// Returns the id of an item by its job and index.
  using ItemIdLookup = std::function<std::string(const JobKey&, std::uint32_t)>;

  ItemStageLog(boost::asio::any_io_executor executor, const ItemStages& stages,
               ItemIdLookup item_id_lookup);

  /// Goes on for as long as `running` holds.
  boost::asio::awaitable<void> run(std::function<bool()> running) const;

 private:
  void log_summary() const;

  boost::asio::any_io_executor executor_;
  const ItemStages& stages_;
  ItemIdLookup item_id_lookup_;
};

}  // namespace stoathold
