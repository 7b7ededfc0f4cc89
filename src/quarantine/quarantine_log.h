/// @file
/// Log records of quarantined requests. Every node reads them, so that a node that was partitioned
/// or has just started knows the quarantines too.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>

#include "quarantine/quarantine.h"
#include "store/partition_replica.h"

namespace stoathold {

/// Follows the records, and writes those of the requests that this node quarantines. An operator
/// lifts a quarantine by deleting its record. Must outlive all its calls; used on one thread.
class QuarantineLog final : public RecordSink {
 public:
  QuarantineLog(boost::asio::any_io_executor executor, RecordLog& log, Quarantine& quarantine);

  void start();
  /// Claims a trial of a quarantined request that is due. A claim is durable before it is given,
  /// and is given to one node of the fleet only. Without an answer of the log there is no claim.
  boost::asio::awaitable<bool> claim_trial(QuarantineTrial trial);

  void apply(const StoredRecord& record) override;
  void reset(const std::vector<StoredRecord>& newest, RecordOffset end) override;

 private:
  /// A change of a request's record that is not written yet.
  enum class Change : std::uint8_t {
    kRecord,  ///< The quarantine is recorded, as it is known when it is written.
    kLift,    ///< The record is deleted, which lifts the quarantine.
    kExpire,  ///< The record of an expired quarantine is deleted.
  };

  void write(ContentHash content, Change change);
  /// Returns the records to write for the pending changes, and drops changes that are not needed.
  std::vector<KeyedRecord> take_records();
  boost::asio::awaitable<void> write_all();
  boost::asio::awaitable<void> expire_periodically();

  boost::asio::any_io_executor executor_;
  RecordLog& log_;
  Quarantine& quarantine_;
  std::shared_ptr<PartitionReplica> replica_;
  std::map<ContentHash, Change> pending_changes_;
  /// Records that this node deletes when their quarantine expires.
  std::set<ContentHash> own_records_;
  std::set<ContentHash> claiming_;  ///< Requests with a claim under way.
  bool writing_ = false;
};

}  // namespace stoathold
