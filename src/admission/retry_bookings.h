/// @file
/// Retry bookings of a zone, identified by request content.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "admission/retry_booking_report.h"
#include "base/time.h"

namespace stoathold {

/// A bounded table of booked retries, shared within the zone by reports. Only nodes write to it, so
/// a caller can use only a booking that a node gave it, once, and not before its time. Used on one
/// thread.
class RetryBookings {
 public:
  /// Books a retry for a rejected request.
  void book(std::uint64_t content, std::uint64_t service, TimePoint return_at, TimePoint now);
  /// Consumes the booking of an arriving request. Cheap while there are no bookings.
  /// @return whether the request is a booked retry that is due. A further copy of it is not.
  bool consume(std::uint64_t content, TimePoint now);
  /// Returns whether there are no bookings; the content of a request need not be hashed then.
  [[nodiscard]] bool empty() const { return entries_.empty(); }
  /// Returns the number of retries booked in the `kBookingBin` that contains a time.
  [[nodiscard]] std::uint32_t booked_at(std::uint64_t service, TimePoint at) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  /// Returns up to `max_count` entries to report to other nodes; each entry is reported several
  /// times.
  [[nodiscard]] std::vector<RetryBookingReport> report(std::size_t max_count, TimePoint now);
  /// Applies a report of another node.
  void apply_report(const RetryBookingReport& report, TimePoint now);
  /// Removes expired bookings.
  void expire(TimePoint now);

  /// Length of the bins in which retries are booked.
  static constexpr Duration kBookingBin = std::chrono::milliseconds(100);

 private:
  struct Entry {
    std::uint64_t service = 0;
    TimePoint return_at{};
    TimePoint recorded_at{};
    bool arrived = false;
  };
  struct Outgoing {
    std::uint64_t content = 0;
    std::uint32_t repeats = 0;
  };
  struct Bin {
    std::uint64_t service = 0;
    std::int64_t number = 0;
    bool operator<(const Bin& other) const {
      return std::tie(service, number) < std::tie(other.service, other.number);
    }
  };

  static Bin bin_of(const Entry& entry);
  void add(std::uint64_t content, const Entry& entry);
  void release(const Entry& entry);

  std::unordered_map<std::uint64_t, Entry> entries_;  ///< By content hash.
  std::deque<std::uint64_t> by_age_;                  ///< Content hashes, oldest entry first.
  std::map<Bin, std::uint32_t> booked_counts_;
  std::deque<Outgoing> outgoing_;
};

}  // namespace stoathold
