#include "gateway/event_framer.h"

#include <algorithm>
#include <charconv>

namespace stoathold {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data:";

/// Removes the first line from `text` and returns it without its line ending.
std::string_view take_line(std::string_view& text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

/// Returns the field's value if the line has that field. One space after the colon is not part of
/// the value.
std::optional<std::string_view> parse_field(std::string_view line, std::string_view field) {
  if (!line.starts_with(field)) return std::nullopt;
  line.remove_prefix(field.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

std::optional<std::uint64_t> parse_event_id(std::string_view raw) {
  while (!raw.empty()) {
    const std::string_view line = take_line(raw);
    const auto value = parse_field(line, kIdField);
    if (!value) continue;
    std::uint64_t id = 0;
    const auto result = std::from_chars(value->data(), value->data() + value->size(), id);
    if (result.ec != std::errc{} || result.ptr != value->data() + value->size()) return {};
    return id;
  }
  return std::nullopt;
}

/// Buffers up to this size are not accounted for; usual events are shorter.
constexpr std::size_t kUnaccountedBytes = 16UL * 1024;

/// Returns the position after the first blank line, or npos.
/// @param line_start where to begin; set to the start of the last line, which is incomplete, if
///   there is no blank line.
std::size_t find_event_end(std::string_view text, std::size_t& line_start) {
  while (true) {
    const std::size_t end = text.find('\n', line_start);
    if (end == std::string_view::npos) return end;
    const bool blank = end == line_start || (end == line_start + 1 && text[line_start] == '\r');
    if (blank) return end + 1;
    line_start = end + 1;
  }
}

}  // namespace

std::string event_data(std::string_view raw) {
  std::string data;
  bool first = true;
  while (!raw.empty()) {
    const std::string_view line = take_line(raw);
    const auto value = parse_field(line, kDataField);
    if (!value) continue;
    if (!first) data.push_back('\n');
    data.append(*value);
    first = false;
  }
  return data;
}

bool EventFramer::feed(std::string_view bytes) {
  buffer_.erase(0, position_);
  line_start_ -= position_;
  position_ = 0;
  buffer_.append(bytes);
  // A long event leaves a capacity that the reservation does not cover any more.
  const bool is_short = buffer_.size() <= kUnaccountedBytes;
  if (is_short && buffer_.capacity() > 2 * kUnaccountedBytes) buffer_.shrink_to_fit();
  return buffer_.size() <= kMaxEventBytes && reserve();
}

bool EventFramer::reserve() {
  if (budget_ == nullptr || !budget_->limited()) return true;
  const std::size_t needed = buffer_.size() <= kUnaccountedBytes ? 0 : buffer_.size();
  if (needed == reservation_.bytes()) return true;
  if (reservation_.bytes() == 0) reservation_ = budget_->charge(MemoryAccount::kResponses, 0);
  if (needed > reservation_.bytes()) return reservation_.grow(needed - reservation_.bytes());
  reservation_.resize(needed);
  return true;
}

std::optional<StreamEvent> EventFramer::next() {
  const std::size_t end = find_event_end(buffer_, line_start_);
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view raw = std::string_view(buffer_).substr(position_, end - position_);
  position_ = end;
  line_start_ = end;
  return StreamEvent{raw, parse_event_id(raw)};
}

std::string_view EventFramer::remainder() const {
  return std::string_view(buffer_).substr(position_);
}

}  // namespace stoathold
