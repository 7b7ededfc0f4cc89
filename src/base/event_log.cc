#include "base/event_log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

#include "base/bounded_log_writer.h"
#include "base/event_rate_limiter.h"
#include "base/line_output.h"

namespace stoathold {
namespace {

namespace logging = boost::log;

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};

using Logger = logging::sources::severity_logger_mt<EventLevel>;

struct EventSink {
  LogFormat format = LogFormat::kText;
  EventLevel min_level = EventLevel::kInfo;
  bool started = false;
  BoundedLogWriter* bounded = nullptr;  ///< Null: lines are written immediately.
  std::string node;
};

std::atomic<std::uint64_t>& dropped_total() {
  static std::atomic<std::uint64_t> total{0};
  return total;
}

EventRateLimiter& rate_limiter() {
  static EventRateLimiter limiter;
  return limiter;
}

EventSink& event_sink() {
  static EventSink sink;
  return sink;
}

Logger& logger() {
  static Logger instance;
  return instance;
}

const EventEntry& find_entry(Event event) {
  const auto catalogue = event_catalogue();
  const auto found =
      std::find_if(catalogue.begin(), catalogue.end(),
                   [event](const EventEntry& entry) { return entry.event == event; });
  return found == catalogue.end() ? catalogue.front() : *found;
}

std::string format_text(const EventEntry& entry, std::initializer_list<EventField> fields) {
  std::string line = std::string(kLevelNames[static_cast<std::size_t>(entry.level)]) + " E" +
                     std::to_string(static_cast<int>(entry.event)) + " " + std::string(entry.name);
  for (const auto& [name, value] : fields) {
    line += " " + std::string(name) + "=" + boost::json::serialize(boost::json::string(value));
  }
  return line;
}

/// Returns the current UTC time with microseconds, in ISO 8601.
std::string format_time() {
  return boost::posix_time::to_iso_extended_string(
             boost::posix_time::microsec_clock::universal_time()) +
         "Z";
}

/// Returns whether a text needs no escaping in JSON.
bool needs_no_escaping(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    return character >= ' ' && character <= '~' && character != '"' && character != '\\';
  });
}

void append_text(std::string& line, std::string_view name, std::string_view value) {
  line.append(",\"").append(name).append("\":");
  if (needs_no_escaping(value)) {
    line.append("\"").append(value).append("\"");
  } else {
    line.append(boost::json::serialize(boost::json::string(value)));
  }
}

/// Returns the members and the closing brace of a JSON object; the caller writes the opening brace
/// and the time.
std::string format_json(const EventEntry& entry, std::initializer_list<EventField> fields) {
  constexpr std::size_t kTypicalLineBytes = 400;
  std::string line;
  line.reserve(kTypicalLineBytes);
  line.append("\"event\":").append(std::to_string(static_cast<int>(entry.event)));
  append_text(line, "level", kLevelNames[static_cast<std::size_t>(entry.level)]);
  append_text(line, "name", entry.name);
  const std::string& node = event_sink().node;
  if (!node.empty()) append_text(line, "node", node);
  for (const auto& [name, value] : fields) append_text(line, name, value);
  line.append("}");
  return line;
}

}  // namespace

EventLevel parse_event_level(std::string_view name) {
  const auto found = std::find(kLevelNames.begin(), kLevelNames.end(), name);
  if (found == kLevelNames.end()) return EventLevel::kInfo;
  return static_cast<EventLevel>(found - kLevelNames.begin());
}

void start_event_log(LogFormat format, EventLevel min_level) {
  auto& sink = event_sink();
  sink = {format, min_level, true, nullptr, {}};
  namespace expressions = logging::expressions;
  logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
  const auto time =
      expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ");
  if (format == LogFormat::kJson) {
    logging::add_console_log(std::cerr, logging::keywords::auto_flush = true,
                             logging::keywords::format = expressions::stream
                                                         << "{\"time\":\"" << time << "\","
                                                         << expressions::smessage);
  } else {
    logging::add_console_log(
        std::cerr, logging::keywords::auto_flush = true,
        logging::keywords::format = expressions::stream << time << " " << expressions::smessage);
  }
}

void start_bounded_event_log(EventLevel min_level, const std::string& node) {
  // Never destroyed: if nobody reads standard output, its thread is blocked in a write.
  auto* bounded =
      new BoundedLogWriter([output = LineOutput(STDOUT_FILENO)](const std::string& lines) mutable {
        output.write(lines);
      });
  event_sink() = {LogFormat::kJson, min_level, true, bounded, node};
}

bool flush_event_log(Duration timeout) {
  BoundedLogWriter* bounded = event_sink().bounded;
  return bounded == nullptr || bounded->flush(timeout);
}

std::uint64_t dropped_log_lines() {
  return dropped_total();
}

namespace {

/// Applies the rate limit of a bounded log to a line. Logs how many lines of the event were dropped
/// in its previous window.
bool admit_line(const EventEntry& entry) {
  if (entry.event == Event::kLogLinesLeftOut) return true;
  const LineAdmission admission = rate_limiter().admit(entry.event, monotonic_now());
  if (admission.dropped_before > 0) {
    log_event(Event::kLogLinesLeftOut, {{"of", std::string(entry.name)},
                                        {"count", std::to_string(admission.dropped_before)}});
  }
  if (!admission.admitted) ++dropped_total();
  return admission.admitted;
}

}  // namespace

void log_event(Event event, std::initializer_list<EventField> fields) {
  const auto& sink = event_sink();
  const EventEntry& entry = find_entry(event);
  if (!sink.started || entry.level < sink.min_level) return;
  if (sink.bounded != nullptr && !admit_line(entry)) return;
  if (sink.bounded != nullptr) {
    const std::string line = "{\"time\":\"" + format_time() + "\"," + format_json(entry, fields);
    const bool queued = sink.bounded->add(line, entry.level >= EventLevel::kWarning);
    if (!queued) ++dropped_total();
  } else if (sink.format == LogFormat::kJson) {
    BOOST_LOG_SEV(logger(), entry.level) << format_json(entry, fields);
  } else {
    BOOST_LOG_SEV(logger(), entry.level) << format_text(entry, fields);
  }
}

}  // namespace stoathold
