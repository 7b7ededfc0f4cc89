/// @file
/// Callers of the zone that were told to come back, known by what they ask.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "admission/return_report.h"
#include "base/time.h"

namespace stoathold {

/// A bounded table, shared in the zone by reports. Only nodes write it: a caller gains by it only
/// what the node told it, once, and not before its time. Used on one thread.
class ReturningCallers {
 public:
  /// A caller is told to come back.
  void tell(std::uint64_t content, std::uint64_t service, TimePoint return_at, TimePoint now);
  /// A request came. Cheap while nobody was told.
  /// @return whether its caller was told to come by now; the next one that is the same was not.
  bool take(std::uint64_t content, TimePoint now);
  /// Whether nobody is expected: the content of a request need not be known then.
  [[nodiscard]] bool empty() const { return entries_.empty(); }
  /// Returns how many are expected in the `kBookingBin` that holds a moment.
  [[nodiscard]] std::uint32_t expected_at(std::uint64_t service, TimePoint at) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  /// Returns what other nodes should know, at most `most` entries; each is reported some times.
  [[nodiscard]] std::vector<ReturnReport> report(std::size_t most, TimePoint now);
  /// Takes a report of another node.
  void take_report(const ReturnReport& report, TimePoint now);
  /// Forgets those whose time is over.
  void expire(TimePoint now);

  /// Returns are planned in bins of this length.
  static constexpr Duration kBookingBin = std::chrono::milliseconds(100);

 private:
  struct Entry {
    std::uint64_t service = 0;
    TimePoint return_at{};
    TimePoint known_since{};
    bool came = false;
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

  std::unordered_map<std::uint64_t, Entry> entries_;  ///< By content.
  std::deque<std::uint64_t> by_age_;  ///< Contents, in the order in which they came.
  std::map<Bin, std::uint32_t> expected_;
  std::deque<Outgoing> outgoing_;
};

}  // namespace stoathold
