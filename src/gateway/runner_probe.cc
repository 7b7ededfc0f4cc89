#include "gateway/runner_probe.h"

namespace stoathold {

std::optional<UpstreamProbe> make_runner_probe(const GatewayContext& context, const Runner& runner,
                                               std::string_view host) {
  if (!context.configuration) return std::nullopt;
  const auto& services = context.configuration->services;
  const auto service = services.find(runner.record().service);
  if (service == services.end() || service->second.health_path.empty()) return std::nullopt;
  UpstreamProbe probe;
  probe.target = service->second.health_path;
  probe.headers.push_back({"Host", std::string(host)});
  probe.headers.push_back({context.dialect.expected_instance, runner.record().id});
  return probe;
}

AttemptResult unsent_result(Runner& runner, const UpstreamExchange& upstream) {
  constexpr int kMisdirected = 421;
  if (upstream.probe_status() == 0) return AttemptResult::kUnreachable;
  if (upstream.probe_status() == kMisdirected) runner.mark_leaving();
  return AttemptResult::kNotRun;
}

FinishedRun make_finished_run(const Runner& runner, const EndedRun& run) {
  const UpstreamExchange& upstream = run.upstream;
  const bool was_heard =
      runner.own_live_period().covers_send(upstream.connected(), upstream.sent());
  return {.runner = runner.hash(),
          .connected = upstream.connected(),
          .stage = run.stage,
          .reached_live_runner = upstream.probed() || was_heard || run.probe_unavailable,
          .progressed = run.progressed,
          .delivered_events = run.delivered_events,
          .closed_by_runner = run.broken && upstream.closed_by_runner()};
}

}  // namespace stoathold
