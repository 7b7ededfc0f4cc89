/// @file
/// The stand-ins of the outside systems. Each runs in a process of its own; tests and the bench may
/// also run one on an io_context of theirs.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "emulator/engine_model.h"

namespace stoathold::emulator {

/// A running stand-in; serves until destroyed. Its executor must be single-threaded.
class StandIn {
 public:
  virtual ~StandIn() = default;
  /// The address bound.
  [[nodiscard]] virtual std::string address() const = 0;
};

/// The model engine. Admin: `POST /admin/faults` with any of `refuse`, `frozen`, `leaving`
/// (true/false), `slow_factor`, `break_after_tokens` (numbers, 0: off); `GET /admin/executions`
/// answers how often each request body was run.
std::unique_ptr<StandIn> make_engine(const boost::asio::any_io_executor& executor,
                                     const std::string& listen, EngineParameters parameters,
                                     Duration report_lag);

/// The append-only log. Admin: `POST /admin/faults` with any of `outage` (true/false), `delay_ms`,
/// `lose_answers` and `drop_appends` (how many of the next appends).
std::unique_ptr<StandIn> make_log(const boost::asio::any_io_executor& executor,
                                  const std::string& listen);

/// The machine list. Admin: `PUT /admin/machines` with the list; it is served `lag` later.
std::unique_ptr<StandIn> make_machines(const boost::asio::any_io_executor& executor,
                                       const std::string& listen, Duration lag);

/// The weight store: grants `per_minute` fetches a minute.
std::unique_ptr<StandIn> make_weights(const boost::asio::any_io_executor& executor,
                                      const std::string& listen, std::uint32_t per_minute);

/// The users' metadata store: keyed topics, conditional appends, one group. Admin: `POST
/// /admin/faults` with any of `outage` (`silent`, `busy`, `reset`, or empty), `lose_answers`,
/// `late_appends`, `late_ms`, `delay_ms`, `drop_history`.
std::unique_ptr<StandIn> make_metadata_store(const boost::asio::any_io_executor& executor,
                                             const std::string& listen);

/// How an inference runner behaves.
struct InferenceRunnerParameters {
  std::string id = "runner-1";
  std::uint32_t slots = 4;
  std::uint64_t events = 5;                     ///< Of each stream.
  std::uint64_t event_bytes = 1U << 20U;        ///< Most bytes of the request's body in an event.
  Duration gap = std::chrono::milliseconds(5);  ///< Before each event.
  /// Time of its work as a percentage of `gap`: runners may differ from one another for good.
  std::uint32_t time_percent = 100;
  /// Whether it reports how slow it is at the moment.
  bool reports_slowness = false;
  /// The process ends as soon as it has begun to answer a request with this body; empty: never.
  std::string crash_body;
};

/// A runner as the users' platform shows it. Admin: `POST /admin/faults` with any of `not_run`,
/// `silent` (true/false), `break_after`, `foreign_answers`, `error_status`, `spoiled_answers`
/// (numbers, 0: off), `slowness_percent` (how slow its machine makes it now; 0 or 100: as usual)
/// and `false_slowness` (a text that it reports in the place of that; empty: the truth); `GET
/// /admin/runs` answers how often each request was run.
std::unique_ptr<StandIn> make_inference_runner(const boost::asio::any_io_executor& executor,
                                               const std::string& listen,
                                               InferenceRunnerParameters parameters);

/// A TCP link that can be cut. Admin on its own address: `POST /admin/faults` with `cut`
/// (true/false) and `delay_ms`.
std::unique_ptr<StandIn> make_link(const boost::asio::any_io_executor& executor,
                                   const std::string& listen, const std::string& target,
                                   const std::string& admin_listen);

}  // namespace stoathold::emulator
