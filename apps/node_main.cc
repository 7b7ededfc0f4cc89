/// @file
/// `stoathold-node`: settings from a file with flags over it, then the node.
#include <CLI/CLI.hpp>
#include <iostream>
#include <map>

#include "base/signal_hold.h"
#include "server/node_server.h"
#include "server/settings.h"

namespace {

constexpr int kExitSettings = 2;

int print_faults(const std::vector<stoathold::SettingsFault>& faults) {
  for (const auto& fault : faults) std::cerr << stoathold::to_string(fault) << "\n";
  return kExitSettings;
}

}  // namespace

int main(int argc, char** argv) {
  stoathold::hold_signals();
  CLI::App app{"A stoathold node: serves callers and operators, and takes its share of the fleet."};
  std::string file;
  bool check_only = false;
  std::map<std::string, std::string> flags;
  app.add_option("--settings", file, "Settings file (YAML)");
  app.add_flag("--check-settings", check_only, "Check the settings and exit");
  app.set_version_flag("--version", std::string(STOATHOLD_VERSION));
  for (const auto& name : stoathold::setting_names()) {
    std::string flag = "--" + name;
    std::replace(flag.begin(), flag.end(), '_', '-');
    app.add_option(flag, flags[name], "Overrides '" + name + "' of the settings file");
  }
  CLI11_PARSE(app, argc, argv);

  stoathold::NodeSettings settings;
  if (!file.empty()) {
    const auto faults = stoathold::read_settings_file(file, settings);
    if (!faults.empty()) return print_faults(faults);
  }
  for (const auto& [name, value] : flags) {
    if (value.empty()) continue;
    const std::string message = stoathold::set_setting(settings, name, value);
    if (!message.empty()) return print_faults({{"", 0, name, message}});
  }
  const auto faults = stoathold::check_settings(settings);
  if (!faults.empty()) return print_faults(faults);
  if (check_only) {
    std::cout << "settings are correct\n";
    return 0;
  }
  stoathold::start_event_log(stoathold::log_format_of(settings), stoathold::log_level_of(settings));
  return stoathold::run_node(settings);
}
