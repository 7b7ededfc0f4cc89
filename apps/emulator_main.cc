/// @file
/// `stoathold-emulator`: runs one emulated service per process.
#include <yaml-cpp/yaml.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "base/event_log.h"
#include "emulator/emulated_service.h"

namespace {

namespace asio = boost::asio;
using stoathold::Duration;
using stoathold::emulator::EngineParameters;

constexpr int kExitSettings = 2;

/// Options of all subcommands.
struct Options {
  std::string listen = "127.0.0.1:0";
  std::string parameters_file;
  std::string target;
  std::string admin_listen = "127.0.0.1:0";
  std::uint32_t report_lag_ms = 100;
  std::uint32_t machine_list_lag_ms = 0;
  std::uint32_t fetches_per_minute = 60;
  stoathold::emulator::InferenceRunnerParameters runner;
  std::uint32_t event_interval_ms = 5;
  std::optional<std::uint32_t> silent_crash_ms;
  stoathold::emulator::AppendLimits append_limits;
};

bool read_parameters(const std::string& path, EngineParameters& parameters) {
  if (path.empty()) return true;
  try {
    const YAML::Node root = YAML::LoadFile(path);
    for (const auto& item : root) {
      const auto name = item.first.as<std::string>();
      const auto value = item.second.as<std::uint32_t>();
      if (name == "step_base_us") {
        parameters.step_base = Duration(value);
      } else if (name == "step_per_sequence_us") {
        parameters.step_per_sequence = Duration(value);
      } else if (name == "prefill_per_token_us") {
        parameters.prefill_per_token = Duration(value);
      } else if (name == "prefill_chunk") {
        parameters.prefill_chunk = value;
      } else if (name == "max_sequences") {
        parameters.max_sequences = value;
      } else if (name == "kv_blocks") {
        parameters.kv_blocks = value;
      } else if (name == "block_tokens") {
        parameters.block_tokens = value;
      } else {
        std::cerr << path << ":" << item.first.Mark().line + 1 << ": " << name
                  << ": is not an engine parameter\n";
        return false;
      }
    }
  } catch (const YAML::Exception& exception) {
    std::cerr << path << ": " << exception.what() << "\n";
    return false;
  }
  return true;
}

std::unique_ptr<stoathold::emulator::EmulatedService> make_service(
    const std::string& kind, const Options& options, const EngineParameters& parameters,
    asio::io_context& context) {
  namespace emulator = stoathold::emulator;
  const auto executor = context.get_executor();
  using Milliseconds = std::chrono::milliseconds;
  if (kind == "engine") {
    return emulator::make_engine(executor, options.listen, parameters,
                                 Milliseconds(options.report_lag_ms));
  }
  if (kind == "log") return emulator::make_log(executor, options.listen);
  if (kind == "machines") {
    return emulator::make_machine_list(executor, options.listen,
                                       Milliseconds(options.machine_list_lag_ms));
  }
  if (kind == "weights") {
    return emulator::make_weight_store(executor, options.listen, options.fetches_per_minute);
  }
  if (kind == "metadata-store") {
    return emulator::make_metadata_store(executor, options.listen, options.append_limits);
  }
  if (kind == "inference-runner") {
    auto runner = options.runner;
    runner.event_interval = Milliseconds(options.event_interval_ms);
    if (options.silent_crash_ms) runner.silent_crash_delay = Milliseconds(*options.silent_crash_ms);
    return emulator::make_inference_runner(executor, options.listen, runner);
  }
  return emulator::make_link(executor, options.listen, options.target, options.admin_listen);
}

/// Adds the options of the emulated inference runner.
void add_runner_options(CLI::App& command, Options& options) {
  command.add_option("--id", options.runner.id, "Instance id of the runner");
  command.add_option("--slots", options.runner.slots, "Maximum number of concurrent requests");
  command.add_option("--events", options.runner.events, "Events per stream");
  command.add_option("--event-bytes", options.runner.event_bytes,
                     "Maximum bytes of the request body that each event echoes");
  command.add_option("--gap-ms", options.event_interval_ms,
                     "Interval between events, in milliseconds");
  command.add_option("--time-percent", options.runner.work_time_percent,
                     "Processing time as a percentage of --gap-ms");
  command.add_flag("--reports-slowness", options.runner.reports_slowness,
                   "Report the current slowness in the load header");
  command.add_option("--software-version", options.runner.software_version,
                     "Software version, which begins the data of each event");
  command.add_option("--crash-body", options.runner.crash_bodies,
                     "Exit on starting the response to a request with this body; may be repeated");
  command.add_option("--crash-part", options.runner.crash_part,
                     "Exit on starting the response to a request with this prompt part");
  command.add_option("--silent-crash-ms", options.silent_crash_ms,
                     "Exit this long after such a request, in milliseconds, without a response");
  command.add_flag("--log-runs", options.runner.logs_runs, "Write a line for each run and crash");
  command.add_flag("--ends-with-connection", options.runner.ends_with_connection,
                   "End responses by closing the connection, without a length or chunks");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Emulated external services of stoathold, for tests and benchmarks."};
  app.require_subcommand(1);
  Options options;
  for (const char* kind :
       {"engine", "log", "machines", "weights", "link", "metadata-store", "inference-runner"}) {
    auto* command = app.add_subcommand(kind);
    command->add_option("--listen", options.listen, "ip:port; port 0 selects a free port");
    if (std::string(kind) == "engine") {
      command->add_option("--parameters", options.parameters_file,
                          "YAML file with the engine parameters");
      command->add_option("--report-lag-ms", options.report_lag_ms,
                          "Delay of load reports, in milliseconds");
    } else if (std::string(kind) == "machines") {
      command->add_option("--lag-ms", options.machine_list_lag_ms,
                          "Delay before a new machine list is served, in milliseconds");
    } else if (std::string(kind) == "weights") {
      command->add_option("--per-minute", options.fetches_per_minute,
                          "Weight fetches allowed per minute");
    } else if (std::string(kind) == "metadata-store") {
      command->add_option("--record-bytes", options.append_limits.record_bytes,
                          "Maximum bytes of a record; 0: no limit");
      command->add_option("--call-bytes", options.append_limits.call_bytes,
                          "Maximum bytes of an append; 0: no limit");
    } else if (std::string(kind) == "inference-runner") {
      add_runner_options(*command, options);
    } else if (std::string(kind) == "link") {
      command->add_option("--target", options.target, "ip:port that connections are forwarded to")
          ->required();
      command->add_option("--admin-listen", options.admin_listen, "ip:port for admin requests");
    }
  }
  CLI11_PARSE(app, argc, argv);
  EngineParameters parameters;
  if (!read_parameters(options.parameters_file, parameters)) return kExitSettings;
  stoathold::start_event_log(stoathold::LogFormat::kText, stoathold::EventLevel::kInfo);
  const std::string kind = app.get_subcommands().front()->get_name();
  try {
    asio::io_context context(1);
    const auto service = make_service(kind, options, parameters, context);
    stoathold::log_event(stoathold::Event::kEmulatorStarted,
                         {{"kind", kind}, {"listen", service->address()}});
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
  } catch (const std::system_error& failure) {
    std::cerr << failure.what() << "\n";
    return 1;
  }
  return 0;
}
