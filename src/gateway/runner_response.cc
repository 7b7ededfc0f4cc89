#include "gateway/runner_response.h"

#include <utility>

#include "gateway/headers.h"
#include "gateway/speed_reports.h"

namespace stoathold {

void record_response_head(GatewayContext& context, Runner& runner, const UpstreamExchange& upstream,
                          std::uint32_t& uncached_prompt_tokens) {
  const TimePoint now = monotonic_now();
  runner.record_receive(now, upstream.connected());
  runner.record_prompt_processed(std::exchange(uncached_prompt_tokens, 0));
  const auto report = parse_load(upstream.head().header(context.dialect.load));
  if (!report) return;
  runner.apply_load_report(*report, now);
  apply_slowness_report(context, runner, *report, now);
}

bool was_not_run(Runner& runner, const UpstreamHead& head, const HeaderDialect& dialect) {
  constexpr int kMisdirected = 421;
  if (head.status == kMisdirected) {
    runner.mark_leaving();
    return true;
  }
  return !head.header(dialect.not_run).empty();
}

bool is_unverified(const UpstreamHead& head, const HeaderDialect& dialect) {
  return !head.header("Content-Encoding").empty() ||
         head.header(dialect.response_signature).empty();
}

}  // namespace stoathold
