/// @file
/// Settings of a node: read from a YAML file, overridden by flags, and validated at start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/event_log.h"

namespace stoathold {

/// Settings of a node process; fixed from its start.
struct NodeSettings {
  std::string name;
  std::string region = "region-1";
  std::string zone = "zone-1";
  std::string listen = "127.0.0.1:8080";       ///< HTTP APIs for callers and operators.
  std::string peer_listen = "127.0.0.1:7080";  ///< Peer protocol.
  std::string log_service;                     ///< `ip:port` of the platform's log.
  std::string machine_list;                    ///< `ip:port` of the platform's machine list.
  std::string weight_store;                    ///< `ip:port` of the weight store; may be empty.
  std::uint32_t worker_threads = 2;
  std::uint32_t drain_seconds = 30;  ///< Time limit of a graceful shutdown.
  std::uint32_t job_shards = 32;     ///< Must be the same on every node of a fleet.
  std::string log_format = "text";   ///< `text` or `json`.
  std::string log_level = "info";    ///< `debug`, `info`, `warning` or `error`.
};

/// A validation error in the settings, with its location.
struct SettingsError {
  std::string file;  ///< Empty unless the error was found in a file.
  int line = 0;      ///< Starts at 1; 0 if unknown.
  std::string field;
  std::string message;
};

/// Formats an error as `file:line: field: message`.
std::string to_string(const SettingsError& error);

/// Reads a YAML file and overrides the values of `settings`. An unknown key is an error whose
/// message suggests the most similar setting.
std::vector<SettingsError> read_settings_file(const std::string& path, NodeSettings& settings);
/// Validates required values, addresses and enumerated values.
std::vector<SettingsError> check_settings(const NodeSettings& settings);

/// Returns the names of all settings, for flags and messages.
const std::vector<std::string>& setting_names();
/// Parses `value` and sets one setting.
/// @return an error message, or an empty string on success.
std::string set_setting(NodeSettings& settings, const std::string& name, const std::string& value);

LogFormat log_format_of(const NodeSettings& settings);
EventLevel log_level_of(const NodeSettings& settings);

/// Returns the candidate with the smallest edit distance to `word`; empty if there are none.
std::string nearest_name(const std::string& word, const std::vector<std::string>& candidates);

}  // namespace stoathold
