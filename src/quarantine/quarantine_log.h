/// @file
/// The log's records of requests that are kept from runners: read by every node, so that one which
/// was cut off from the others or has just begun knows them too.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>

#include "quarantine/quarantine.h"
#include "store/partition_replica.h"

namespace stoathold {

/// Follows the records, and writes those of the requests that this node puts in quarantine. An
/// operator lifts a quarantine by deleting its record. Outlives all its calls; used on one thread.
class QuarantineLog final : public RecordSink {
 public:
  QuarantineLog(boost::asio::any_io_executor executor, RecordLog& log, Quarantine& quarantine);

  void start();

  void apply(const StoredRecord& record) override;
  void reset(const std::vector<StoredRecord>& newest) override;

 private:
  void write(ContentHash content, std::string value);
  boost::asio::awaitable<void> write_all();
  boost::asio::awaitable<void> expire_now_and_then();

  boost::asio::any_io_executor executor_;
  RecordLog& log_;
  Quarantine& quarantine_;
  std::shared_ptr<PartitionReplica> replica_;
  std::map<std::string, std::string> unwritten_;  ///< Values by key; an empty one deletes.
  std::set<ContentHash> written_;                 ///< Deleted by this node when their time is up.
  bool writing_ = false;
};

}  // namespace stoathold
