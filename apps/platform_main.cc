/// @file
/// `stoathold`: a node on the users' platform, configured by the platform's settings file.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "base/event_log.h"
#include "base/signal_mask.h"
#include "platform/platform_node.h"
#include "platform/platform_settings.h"

namespace {

constexpr int kExitSettings = 2;
constexpr const char* kSettingsVariable = "STOATHOLD_NODE_FILE";
/// Time limit for writing the last log lines, so that a log pipe without a reader does not delay a
/// graceful shutdown.
constexpr stoathold::Duration kLogFlushTimeout = std::chrono::milliseconds(300);

}  // namespace

int main(int argc, char** argv) {
  stoathold::block_signals();
  CLI::App app{"A stoathold node on the platform: serves online and batch inference."};
  std::string file;
  bool check_only = false;
  std::string level = "info";
  app.add_option("--settings", file, "Settings file (YAML)")->envname(kSettingsVariable);
  app.add_flag("--check-settings", check_only, "Check the settings and exit");
  app.add_option("--log-level", level, "Minimum level of logged events")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  std::uint16_t metrics_port = 0;
  app.add_option("--metrics-port", metrics_port,
                 "Port on the node's own address that serves /metrics");
  app.set_version_flag("--version", std::string(STOATHOLD_VERSION));
  CLI11_PARSE(app, argc, argv);

  stoathold::platform::PlatformSettings settings;
  const auto faults = stoathold::platform::read_platform_settings(file, settings);
  for (const auto& fault : faults) std::cerr << file << ": " << fault << "\n";
  if (!faults.empty()) return kExitSettings;
  if (metrics_port != 0) {
    settings.metrics_listen = settings.ip + ":" + std::to_string(metrics_port);
  }
  if (check_only) {
    std::cout << "settings are correct\n";
    return 0;
  }
  stoathold::start_bounded_event_log(stoathold::parse_event_level(level), settings.node_name);
  const int code = stoathold::platform::run_platform_node(settings, file);
  const bool flushed = stoathold::flush_event_log(kLogFlushTimeout);
  if (!flushed) std::_Exit(code);
  return code;
}
