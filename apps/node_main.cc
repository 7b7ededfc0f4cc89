/// @file
/// `stoathold-node`: reads the settings from a file and from flags, then runs the node.
#include <CLI/CLI.hpp>
#include <iostream>
#include <map>

#include "base/signal_mask.h"
#include "server/node_server.h"
#include "server/settings.h"

namespace {

constexpr int kExitSettings = 2;

int print_errors(const std::vector<stoathold::SettingsError>& errors) {
  for (const auto& error : errors) std::cerr << stoathold::to_string(error) << "\n";
  return kExitSettings;
}

}  // namespace

int main(int argc, char** argv) {
  stoathold::block_signals();
  CLI::App app{"A stoathold node: serves callers and operators as a member of a fleet."};
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
    const auto errors = stoathold::read_settings_file(file, settings);
    if (!errors.empty()) return print_errors(errors);
  }
  for (const auto& [name, value] : flags) {
    if (value.empty()) continue;
    const std::string message = stoathold::set_setting(settings, name, value);
    if (!message.empty()) return print_errors({{"", 0, name, message}});
  }
  const auto errors = stoathold::check_settings(settings);
  if (!errors.empty()) return print_errors(errors);
  if (check_only) {
    std::cout << "settings are correct\n";
    return 0;
  }
  stoathold::start_event_log(stoathold::log_format_of(settings), stoathold::log_level_of(settings));
  return stoathold::run_node(settings);
}
