#include "fuzz/simulated_log.h"

#include <algorithm>

namespace stoathold::fuzz {
namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds(2000);
constexpr std::uint64_t kPercent = 100;

}  // namespace

Offset SimulatedLog::store(const std::string& stream, const std::string& bytes) {
  auto& entries = streams_[stream];
  entries.push_back(bytes);
  ++appends_;
  return Offset{entries.size()};
}

void SimulatedLog::append(std::size_t node, const std::string& stream, const std::string& bytes,
                          Appended done) {
  const auto unknown = [done] { done(LogStatus::kUnknown, Offset{}); };
  if (!reachable(node)) {
    events_.after(kCallTimeout, unknown);
    return;
  }
  if (random_.below(kPercent) < faults_.delayed_appends) {
    const Duration late = std::chrono::milliseconds(random_.below(6000));
    events_.after(late, [this, stream, bytes] { store(stream, bytes); });
    events_.after(kCallTimeout, unknown);
    return;
  }
  const bool lost = random_.below(kPercent) < faults_.lost_responses;
  events_.after(delay(), [this, stream, bytes, done, unknown, lost] {
    const Offset offset = store(stream, bytes);
    if (lost) {
      events_.after(kCallTimeout, unknown);
    } else {
      events_.after(delay(), [done, offset] { done(LogStatus::kOk, offset); });
    }
  });
}

void SimulatedLog::read(std::size_t node, const std::string& stream, Offset from,
                        std::uint32_t limit, Read done) {
  if (!reachable(node)) {
    events_.after(kCallTimeout, [done] { done(LogStatus::kUnknown, {}, Offset{}); });
    return;
  }
  events_.after(delay(), [this, stream, from, limit, done] {
    const auto& entries = streams_[stream];
    std::vector<LogEntry> page;
    for (std::uint64_t at = std::max<std::uint64_t>(value_of(from), 1);
         at <= entries.size() && page.size() < limit; ++at) {
      page.push_back({Offset{at}, entries[at - 1]});
    }
    const Offset head{entries.size() + 1};
    events_.after(delay(),
                  [done, page = std::move(page), head] { done(LogStatus::kOk, page, head); });
  });
}

void SimulatedLog::head(std::size_t node, const std::string& stream, Head done) {
  read(node, stream, Offset{1}, 0,
       [done](LogStatus status, const auto& /*entries*/, Offset head) { done(status, head); });
}

}  // namespace stoathold::fuzz
