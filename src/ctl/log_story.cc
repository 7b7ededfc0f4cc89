#include "ctl/log_story.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <map>
#include <set>

namespace stoathold {
namespace {

namespace json = boost::json;

/// Events that tell what a node believes, whatever the request.
constexpr std::array<std::string_view, 9> kBeliefs{
    "store_lost",    "store_regained",    "configuration_applied", "node_started", "node_draining",
    "slots_changed", "settings_reloaded", "log_lines_left_out",    "replica_reset"};
constexpr std::array<std::string_view, 4> kRunnerNews{"runner_listed", "runner_gone",
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

/// Events that tell of all copies of a request, whatever their ids.
constexpr std::array<std::string_view, 3> kContentNews{"runner_ended_with_request",
                                                       "request_quarantined", "quarantine_ended"};

/// A job's key in the log ends with its id.
bool tells_of(const LogLine& line, const std::string& id) {
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

std::vector<LogLine> find_story(const std::vector<LogLine>& lines, const std::string& id) {
  std::vector<LogLine> story;
  std::set<std::string> runners;
  std::set<std::string> nodes;
  std::set<std::string> contents;
  std::string last;
  for (const auto& line : lines) {
    if (!tells_of(line, id)) continue;
    story.push_back(line);
    nodes.insert(line.node);
    if (!line.field("runner").empty()) runners.insert(line.field("runner"));
    if (!line.field("content").empty()) contents.insert(line.field("content"));
    last = std::max(last, line.time);
  }
  for (const auto& line : lines) {
    const bool of_copies = contents.contains(line.field("content"));
    if (of_copies && is_one_of(kContentNews, line.name)) story.push_back(line);
  }
  // Of each kind of news a node got before the end, the newest is what it acted on.
  std::map<std::string, LogLine> news;
  for (const auto& line : lines) {
    if (line.time > last || !nodes.contains(line.node)) continue;
    const bool of_runner =
        is_one_of(kRunnerNews, line.name) && runners.contains(line.field("runner"));
    if (!of_runner && !is_one_of(kBeliefs, line.name)) continue;
    const std::string kind = line.node + "/" + line.name + "/" + line.field("runner");
    LogLine& newest = news[kind];
    if (newest.time.empty() || line.time > newest.time) newest = line;
  }
  for (const auto& [kind, line] : news) story.push_back(line);
  std::stable_sort(story.begin(), story.end(), [](const LogLine& left, const LogLine& right) {
    return left.time < right.time;
  });
  return story;
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
