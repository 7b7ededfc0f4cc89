/// @file
/// One request's or item's story, put together from the log lines of many nodes.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace stoathold {

/// One line of a node's structured log.
struct LogLine {
  std::string time;  ///< As written: sorts as text.
  std::string node;
  int event = 0;
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;

  /// Returns a field's value, or an empty text.
  [[nodiscard]] std::string field(const std::string& name) const;
};

/// Reads the lines of a log; what is not a structured line is passed over. A prefix before the
/// first brace, as log collectors add, does no harm.
std::vector<LogLine> read_log_lines(std::istream& input);

/// Selects the lines that tell of `id` (a request, an item or a job), and what the nodes concerned
/// learned meanwhile about the runners concerned, the configuration and the store; in the order of
/// time.
std::vector<LogLine> find_story(const std::vector<LogLine>& lines, const std::string& id);

/// Formats a line for people.
std::string format_log_line(const LogLine& line);

}  // namespace stoathold
