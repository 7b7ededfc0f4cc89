/// @file
/// Emulated external services. Each runs in its own process; tests and benchmarks may also run one
/// on their own io_context.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "emulator/engine_model.h"

namespace stoathold::emulator {

/// A running emulated service; serves until it is destroyed. Its executor must be single-threaded.
class EmulatedService {
 public:
  virtual ~EmulatedService() = default;
  /// Returns the address that the service is bound to.
  [[nodiscard]] virtual std::string address() const = 0;
};

/// Creates an engine. Its load reports are `report_lag` old. Admin requests: `POST /admin/faults`
/// with any of `refuse`, `frozen`, `leaving` (true/false), `slow_factor`, `break_after_tokens`
/// (numbers, 0: off); `GET /admin/executions` returns how often each request body was run.
std::unique_ptr<EmulatedService> make_engine(const boost::asio::any_io_executor& executor,
                                             const std::string& listen, EngineParameters parameters,
                                             Duration report_lag);

/// Creates an append-only log. Admin requests: `POST /admin/faults` with any of `outage`
/// (true/false), `delay_ms`, `lose_answers` (how many of the next appends are stored but get no
/// response) and `drop_appends` (how many of the next appends are discarded).
std::unique_ptr<EmulatedService> make_log(const boost::asio::any_io_executor& executor,
                                          const std::string& listen);

/// Creates a machine list. Admin request: `PUT /admin/machines` with a new list, which is served
/// after `lag`.
std::unique_ptr<EmulatedService> make_machine_list(const boost::asio::any_io_executor& executor,
                                                   const std::string& listen, Duration lag);

/// Creates a weight store that allows `per_minute` fetches per minute.
std::unique_ptr<EmulatedService> make_weight_store(const boost::asio::any_io_executor& executor,
                                                   const std::string& listen,
                                                   std::uint32_t per_minute);

/// Sizes above which the metadata store rejects an append with 413, in bytes; 0: no limit. They do
/// not apply to the operator.
struct AppendLimits {
  std::uint64_t record_bytes = 0;  ///< Of a record: the length of its key, the key and the value.
  std::uint64_t call_bytes = 0;    ///< Of a call.
};

/// Creates a metadata store of the users' platform: keyed topics, conditional appends and one
/// group. Admin request: `POST /admin/faults` with any of `outage` (`silent`, `busy`, `reset`, or
/// empty), `lose_answers`, `late_appends`, `late_ms`, `delay_ms`, `drop_history`.
std::unique_ptr<EmulatedService> make_metadata_store(const boost::asio::any_io_executor& executor,
                                                     const std::string& listen,
                                                     AppendLimits limits = {});

/// Parameters of an emulated inference runner.
struct InferenceRunnerParameters {
  std::string id = "runner-1";
  std::uint32_t slots = 4;
  std::uint64_t events = 5;               ///< Events per stream.
  std::uint64_t event_bytes = 1U << 20U;  ///< Maximum bytes of the request body per event.
  Duration event_interval = std::chrono::milliseconds(5);  ///< Pause before each event.
  /// Processing time as a percentage of `event_interval`: a permanent speed difference between
  /// runners.
  std::uint32_t work_time_percent = 100;
  /// Whether load headers include the current slowness.
  bool reports_slowness = false;
  /// Begins the data of each event, followed by `|`, so that tests see which version wrote it;
  /// empty: omitted.
  std::string software_version;
  /// The process exits as soon as it has started the response to a request with one of these
  /// bodies.
  std::vector<std::string> crash_bodies;
  /// The same for requests whose prompt contains this part, unless it is the last one.
  std::string crash_part;
  /// The process exits this long after it got such a request, before any byte of a response.
  std::optional<Duration> silent_crash_delay;
  /// Whether each run and crash is written to the standard output.
  bool logs_runs = false;
  /// Responses have neither a length nor chunks: they end when the connection closes.
  bool ends_with_connection = false;
};

/// Creates an inference runner of the users' platform. Admin requests: `POST /admin/faults` with
/// any of `not_run`, `silent` (true/false), `break_after`, `foreign_answers`, `error_status`,
/// `spoiled_answers` (numbers, 0: off), `slowness_percent` (current processing time as a percentage
/// of the normal one; 0 or 100: normal) and `invalid_slowness` (text to report instead of it;
/// empty: off); `GET /admin/runs` returns how often each request was run.
std::unique_ptr<EmulatedService> make_inference_runner(const boost::asio::any_io_executor& executor,
                                                       const std::string& listen,
                                                       InferenceRunnerParameters parameters);

/// Creates a TCP proxy that emulates a network link. Admin request, at `admin_listen`: `POST
/// /admin/faults` with `cut` (true/false: close all connections, and new ones at once) and
/// `delay_ms`.
std::unique_ptr<EmulatedService> make_link(const boost::asio::any_io_executor& executor,
                                           const std::string& listen, const std::string& target,
                                           const std::string& admin_listen);

}  // namespace stoathold::emulator
