/// @file
/// `stoathold-emulator`: one stand-in per process.
#include <yaml-cpp/yaml.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "base/event_log.h"
#include "emulator/stand_in.h"

namespace {

namespace asio = boost::asio;
using stoathold::Duration;
using stoathold::emulator::EngineParameters;

constexpr int kExitSettings = 2;

/// Options of all stand-ins.
struct Options {
  std::string listen = "127.0.0.1:0";
  std::string parameters_file;
  std::string target;
  std::string admin_listen = "127.0.0.1:0";
  std::uint32_t report_lag_ms = 100;
  std::uint32_t list_lag_ms = 0;
  std::uint32_t fetches_per_minute = 60;
  stoathold::emulator::InferenceRunnerParameters runner;
  std::uint32_t gap_ms = 5;
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

std::unique_ptr<stoathold::emulator::StandIn> make_stand_in(const std::string& kind,
                                                            const Options& options,
                                                            const EngineParameters& parameters,
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
    return emulator::make_machines(executor, options.listen, Milliseconds(options.list_lag_ms));
  }
  if (kind == "weights") {
    return emulator::make_weights(executor, options.listen, options.fetches_per_minute);
  }
  if (kind == "metadata-store") return emulator::make_metadata_store(executor, options.listen);
  if (kind == "inference-runner") {
    auto runner = options.runner;
    runner.gap = Milliseconds(options.gap_ms);
    return emulator::make_inference_runner(executor, options.listen, runner);
  }
  return emulator::make_link(executor, options.listen, options.target, options.admin_listen);
}

/// Options of the stand-in of a runner.
void add_runner_options(CLI::App& command, Options& options) {
  command.add_option("--id", options.runner.id, "Id of this start of the runner");
  command.add_option("--slots", options.runner.slots, "Requests at once");
  command.add_option("--events", options.runner.events, "Events of a stream");
  command.add_option("--event-bytes", options.runner.event_bytes,
                     "Most bytes of the request's body that an event repeats");
  command.add_option("--gap-ms", options.gap_ms, "Pause before each event");
  command.add_option("--time-percent", options.runner.time_percent,
                     "Time of its work against others', in 100ths");
  command.add_flag("--reports-slowness", options.runner.reports_slowness,
                   "Reports how slow it is at the moment");
  command.add_option("--crash-body", options.runner.crash_body,
                     "Ends when it begins to run a request with this body");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-ins of the systems around stoathold, for tests and measurements."};
  app.require_subcommand(1);
  Options options;
  for (const char* kind :
       {"engine", "log", "machines", "weights", "link", "metadata-store", "inference-runner"}) {
    auto* command = app.add_subcommand(kind);
    command->add_option("--listen", options.listen, "ip:port; port 0 takes a free one");
    if (std::string(kind) == "engine") {
      command->add_option("--parameters", options.parameters_file, "YAML file of the engine");
      command->add_option("--report-lag-ms", options.report_lag_ms, "Lag of load reports");
    } else if (std::string(kind) == "machines") {
      command->add_option("--lag-ms", options.list_lag_ms, "Lag behind the list that was set");
    } else if (std::string(kind) == "weights") {
      command->add_option("--per-minute", options.fetches_per_minute, "Fetches granted a minute");
    } else if (std::string(kind) == "inference-runner") {
      add_runner_options(*command, options);
    } else if (std::string(kind) == "link") {
      command->add_option("--target", options.target, "ip:port that the link leads to")->required();
      command->add_option("--admin-listen", options.admin_listen, "ip:port of the admin requests");
    }
  }
  CLI11_PARSE(app, argc, argv);
  EngineParameters parameters;
  if (!read_parameters(options.parameters_file, parameters)) return kExitSettings;
  stoathold::start_event_log(stoathold::LogFormat::kText, stoathold::EventLevel::kInfo);
  const std::string kind = app.get_subcommands().front()->get_name();
  try {
    asio::io_context context(1);
    const auto stand_in = make_stand_in(kind, options, parameters, context);
    stoathold::log_event(stoathold::Event::kEmulatorStarted,
                         {{"kind", kind}, {"listen", stand_in->address()}});
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
  } catch (const std::system_error& failure) {
    std::cerr << failure.what() << "\n";
    return 1;
  }
  return 0;
}
