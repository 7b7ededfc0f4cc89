#include "ctl/log_timeline.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <map>
#include <set>

namespace stoathold {
namespace {

namespace json = boost::json;

/// Events about the state of a node that matter to every request.
constexpr std::array<std::string_view, 9> kNodeStateEvents{
    "store_lost",    "store_regained",    "configuration_applied", "node_started", "node_draining",
    "slots_changed", "settings_reloaded", "log_lines_left_out",    "replica_reset"};
constexpr std::array<std::string_view, 4> kRunnerEvents{"runner_listed", "runner_gone",
                                                        "runner_ejected", "runner_recovered"};

std::string text_of(const json::value& value) {
  return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

bool parse_line(const std::string& text, LogLine& line) {
  const std::size_t start = text.find('{');
  if (start == std::string::npos) return false;
  boost::system::error_code error;
  const json::value value = json::parse(text.substr(start), error);
  if (error || !value.is_object()) return false;
  for (const auto& field : value.as_object()) {
    const std::string name(field.key());
    if (name == "time") {
      line.time = text_of(field.value());
    } else if (name == "node") {
      line.node = text_of(field.value());
    } else if (name == "name") {
      line.name = text_of(field.value());
    } else if (name == "event" && field.value().is_int64()) {
      line.event = static_cast<int>(field.value().as_int64());
    } else if (name != "level") {
      line.fields.emplace_back(name, text_of(field.value()));
    }
  }
  return !line.time.empty() && !line.name.empty();
}

template <typename Names>
bool is_one_of(const Names& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Events that are logged per request content, not per request id.
constexpr std::array<std::string_view, 3> kQuarantineEvents{
    "runner_ended_with_request", "request_quarantined", "quarantine_ended"};

/// Returns whether a line concerns `id`. Job fields hold a key that ends with the id of the job.
bool concerns_id(const LogLine& line, const std::string& id) {
  if (line.field("request") == id || line.field("item") == id) return true;
  const std::string job = line.field("job");
  return job == id || job.ends_with("." + id);
}

}  // namespace

std::string LogLine::field(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return {};
}

std::vector<LogLine> read_log_lines(std::istream& input) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(input, text)) {
    LogLine line;
    if (parse_line(text, line)) lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<LogLine> find_timeline(const std::vector<LogLine>& lines, const std::string& id) {
  std::vector<LogLine> timeline;
  std::set<std::string> runners;
  std::set<std::string> nodes;
  std::set<std::string> content_hashes;
  std::string end_time;
  for (const auto& line : lines) {
    if (!concerns_id(line, id)) continue;
    timeline.push_back(line);
    nodes.insert(line.node);
    if (!line.field("runner").empty()) runners.insert(line.field("runner"));
    if (!line.field("content").empty()) content_hashes.insert(line.field("content"));
    end_time = std::max(end_time, line.time);
  }
  for (const auto& line : lines) {
    const bool has_same_content = content_hashes.contains(line.field("content"));
    if (has_same_content && is_one_of(kQuarantineEvents, line.name)) timeline.push_back(line);
  }
  // A node acted on the newest event of each kind that it had logged by the end of the timeline.
  std::map<std::string, LogLine> newest_events;
  for (const auto& line : lines) {
    if (line.time > end_time || !nodes.contains(line.node)) continue;
    const bool of_runner =
        is_one_of(kRunnerEvents, line.name) && runners.contains(line.field("runner"));
    if (!of_runner && !is_one_of(kNodeStateEvents, line.name)) continue;
    const std::string kind = line.node + "/" + line.name + "/" + line.field("runner");
    LogLine& newest = newest_events[kind];
    if (newest.time.empty() || line.time > newest.time) newest = line;
  }
  for (const auto& [kind, line] : newest_events) timeline.push_back(line);
  std::stable_sort(timeline.begin(), timeline.end(), [](const LogLine& left, const LogLine& right) {
    return left.time < right.time;
  });
  return timeline;
}

std::string format_log_line(const LogLine& line) {
  std::string text = line.time + "  " + line.node + "  " + line.name;
  for (const auto& [name, value] : line.fields) {
    text += "  ";
    text += name;
    text += "=";
    text += value;
  }
  return text;
}

}  // namespace stoathold
