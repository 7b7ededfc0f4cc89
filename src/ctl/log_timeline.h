/// @file
/// Timeline of one request, item or job, collected from the log lines of many nodes.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace stoathold {

/// One line of a node's structured log.
struct LogLine {
  std::string time;  ///< As logged; lexicographic order is chronological order.
  std::string node;
  int event = 0;
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;

  /// Returns the value of a field, or an empty string.
  [[nodiscard]] std::string field(const std::string& name) const;
};

/// Parses the structured lines of a log and skips all others. Text before the first brace, such as
/// a prefix that a log collector adds, is ignored.
std::vector<LogLine> read_log_lines(std::istream& input);

/// Selects the lines that concern `id` (a request, an item or a job), in chronological order. Adds
/// the quarantine events of requests with the same content, and the latest state that the nodes
/// involved had logged about the runners involved, the configuration and the store.
std::vector<LogLine> find_timeline(const std::vector<LogLine>& lines, const std::string& id);

/// Formats a line for display.
std::string format_log_line(const LogLine& line);

}  // namespace stoathold
