#include "server/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <numeric>
#include <utility>
#include <variant>

#include "net/http.h"

namespace stoathold {
namespace {

using TextMember = std::string NodeSettings::*;
using CountMember = std::uint32_t NodeSettings::*;

struct SettingRule {
  const char* name;
  std::variant<TextMember, CountMember> member;
  std::uint32_t minimum = 0;
  std::uint32_t maximum = 0;
};

constexpr std::uint32_t kMaxWorkers = 64;
constexpr std::uint32_t kMaxDrainSeconds = 3600;
constexpr std::uint32_t kMaxShards = 4096;

const std::array kSettingRules{
    SettingRule{"name", &NodeSettings::name},
    SettingRule{"region", &NodeSettings::region},
    SettingRule{"zone", &NodeSettings::zone},
    SettingRule{"listen", &NodeSettings::listen},
    SettingRule{"peer_listen", &NodeSettings::peer_listen},
    SettingRule{"log_service", &NodeSettings::log_service},
    SettingRule{"machine_list", &NodeSettings::machine_list},
    SettingRule{"weight_store", &NodeSettings::weight_store},
    SettingRule{"worker_threads", &NodeSettings::worker_threads, 1, kMaxWorkers},
    SettingRule{"drain_seconds", &NodeSettings::drain_seconds, 1, kMaxDrainSeconds},
    SettingRule{"job_shards", &NodeSettings::job_shards, 1, kMaxShards},
    SettingRule{"log_format", &NodeSettings::log_format},
    SettingRule{"log_level", &NodeSettings::log_level},
};

const std::array<std::string, 4> kLogLevels{"debug", "info", "warning", "error"};

std::size_t edit_distance(const std::string& left, const std::string& right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row.back();
}

void check_address(const std::string& field, const std::string& value, bool required,
                   std::vector<SettingsError>& errors) {
  if (value.empty() && !required) return;
  std::string host;
  std::uint16_t port = 0;
  if (!split_address(value, host, port)) {
    errors.push_back({"", 0, field, "must be ip:port, is '" + value + "'"});
  }
}

}  // namespace

std::string to_string(const SettingsError& error) {
  std::string location = error.file.empty() ? "settings" : error.file;
  if (error.line > 0) location += ":" + std::to_string(error.line);
  return location + ": " + error.field + ": " + error.message;
}

const std::vector<std::string>& setting_names() {
  static const std::vector<std::string> kNames = [] {
    std::vector<std::string> names;
    for (const auto& rule : kSettingRules) names.emplace_back(rule.name);
    return names;
  }();
  return kNames;
}

std::string nearest_name(const std::string& word, const std::vector<std::string>& candidates) {
  const auto closer = [&](const std::string& left, const std::string& right) {
    return edit_distance(word, left) < edit_distance(word, right);
  };
  const auto found = std::min_element(candidates.begin(), candidates.end(), closer);
  return found == candidates.end() ? std::string() : *found;
}

std::string set_setting(NodeSettings& settings, const std::string& name, const std::string& value) {
  const auto rule = std::find_if(kSettingRules.begin(), kSettingRules.end(),
                                 [&](const SettingRule& entry) { return name == entry.name; });
  if (rule == kSettingRules.end()) {
    return "is not a setting; did you mean '" + nearest_name(name, setting_names()) + "'?";
  }
  if (const auto* text = std::get_if<TextMember>(&rule->member)) {
    settings.*(*text) = value;
    return "";
  }
  std::uint32_t number = 0;
  const auto result = std::from_chars(value.data(), value.data() + value.size(), number);
  const bool whole = result.ec == std::errc{} && result.ptr == value.data() + value.size();
  if (!whole || number < rule->minimum || number > rule->maximum) {
    return "must be a whole number from " + std::to_string(rule->minimum) + " to " +
           std::to_string(rule->maximum) + ", is '" + value + "'";
  }
  settings.*(std::get<CountMember>(rule->member)) = number;
  return "";
}

std::vector<SettingsError> read_settings_file(const std::string& path, NodeSettings& settings) {
  std::vector<SettingsError> errors;
  YAML::Node root;
  try {
    root = YAML::LoadFile(path);
  } catch (const YAML::Exception& exception) {
    errors.push_back({path, exception.mark.line + 1, "file", exception.msg});
    return errors;
  }
  if (!root.IsMap()) {
    errors.push_back({path, 1, "file", "must be a map of settings"});
    return errors;
  }
  for (const auto& item : root) {
    const int line = item.first.Mark().line + 1;
    const std::string name = item.first.Scalar();
    if (!item.second.IsScalar()) {
      errors.push_back({path, line, name, "must be a single value"});
      continue;
    }
    const std::string message = set_setting(settings, name, item.second.Scalar());
    if (!message.empty()) errors.push_back({path, line, name, message});
  }
  return errors;
}

std::vector<SettingsError> check_settings(const NodeSettings& settings) {
  std::vector<SettingsError> errors;
  if (settings.name.empty()) errors.push_back({"", 0, "name", "is required"});
  if (settings.zone.empty()) errors.push_back({"", 0, "zone", "must not be empty"});
  check_address("listen", settings.listen, true, errors);
  check_address("peer_listen", settings.peer_listen, true, errors);
  check_address("log_service", settings.log_service, true, errors);
  check_address("machine_list", settings.machine_list, true, errors);
  check_address("weight_store", settings.weight_store, false, errors);
  if (settings.log_format != "text" && settings.log_format != "json") {
    errors.push_back({"", 0, "log_format", "must be text or json"});
  }
  if (std::find(kLogLevels.begin(), kLogLevels.end(), settings.log_level) == kLogLevels.end()) {
    errors.push_back({"", 0, "log_level", "must be debug, info, warning or error"});
  }
  return errors;
}

LogFormat log_format_of(const NodeSettings& settings) {
  return settings.log_format == "json" ? LogFormat::kJson : LogFormat::kText;
}

EventLevel log_level_of(const NodeSettings& settings) {
  const auto found = std::find(kLogLevels.begin(), kLogLevels.end(), settings.log_level);
  return static_cast<EventLevel>(found - kLogLevels.begin());
}

}  // namespace stoathold
