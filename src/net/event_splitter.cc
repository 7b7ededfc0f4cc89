#include "net/event_splitter.h"

#include <charconv>

#include "core/policy_switches.h"

namespace stoathold {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id: ";
constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

}  // namespace

SplitStatus EventSplitter::process_event(std::string_view event) {
  if (event == kEndEvent) {
    finished_ = true;
    return SplitStatus::kOk;
  }
  if (event.substr(0, kIdField.size()) != kIdField) return SplitStatus::kMalformed;
  std::uint32_t token = 0;
  const char* begin = event.data() + kIdField.size();
  const auto result = std::from_chars(begin, event.data() + event.size(), token);
  if (result.ec != std::errc{}) return SplitStatus::kMalformed;
  if (token <= last_token_ && policy_switches().drop_repeated_tokens) return SplitStatus::kOk;
  if (token != last_token_ + 1 && policy_switches().drop_repeated_tokens) return SplitStatus::kGap;
  last_token_ = token;
  output_.append(event);
  return SplitStatus::kOk;
}

SplitStatus EventSplitter::feed(std::string_view bytes) {
  output_.clear();
  events_ = {};
  std::string_view input = bytes;
  std::string joined;
  if (!partial_.empty()) {
    joined = std::move(partial_);
    joined.append(bytes);
    input = joined;
  }
  std::size_t position = 0;
  while (true) {
    const std::size_t end = input.find(kEventEnd, position);
    if (end == std::string_view::npos) break;
    const std::size_t next = end + kEventEnd.size();
    const SplitStatus status = process_event(input.substr(position, next - position));
    if (status != SplitStatus::kOk) return status;
    position = next;
  }
  partial_.assign(input.substr(position));
  if (partial_.size() > kMaxEventBytes) return SplitStatus::kMalformed;
  events_ = output_;
  return SplitStatus::kOk;
}

}  // namespace stoathold
