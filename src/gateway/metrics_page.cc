#include "gateway/metrics_page.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <limits>

#include "routing/speed_summary.h"

namespace stoathold {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

ClientMetric::Label make_label(const std::string& name, const std::string& value) {
  return {name, value};
}

MetricFamily make_family(const std::string& name, const std::string& help, MetricType type) {
  MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = type;
  return family;
}

void add_counter(MetricFamily& family, std::vector<ClientMetric::Label> labels,
                 std::uint64_t value) {
  ClientMetric metric;
  metric.label = std::move(labels);
  metric.counter.value = static_cast<double>(value);
  family.metric.push_back(std::move(metric));
}

MetricFamily labelled_counters(const std::string& name, const std::string& help,
                               const std::string& label,
                               const std::map<std::string, std::uint64_t>& values) {
  MetricFamily family = make_family(name, help, MetricType::Counter);
  for (const auto& [value, count] : values) add_counter(family, {make_label(label, value)}, count);
  return family;
}

MetricFamily histogram(const std::string& name, const std::string& help,
                       const LatencyHistogram& source) {
  MetricFamily family = make_family(name, help, MetricType::Histogram);
  ClientMetric metric;
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < source.buckets().size(); ++i) {
    sum += source.buckets()[i];
    const bool is_last = i == LatencyHistogram::kBoundsMs.size();
    const double bound =
        is_last ? std::numeric_limits<double>::infinity() : LatencyHistogram::kBoundsMs[i] / 1000;
    metric.histogram.bucket.push_back({sum, bound});
  }
  metric.histogram.sample_count = sum;
  metric.histogram.sample_sum = source.sum_seconds();
  family.metric.push_back(std::move(metric));
  return family;
}

MetricFamily gauge(const std::string& name, const std::string& help, double value) {
  MetricFamily family = make_family(name, help, MetricType::Gauge);
  ClientMetric metric;
  metric.gauge.value = value;
  family.metric.push_back(std::move(metric));
  return family;
}

/// Adds a gauge to the last family if it has the same name, otherwise to a new one.
void add_gauge(const MetricValue& value, std::vector<MetricFamily>& families) {
  if (families.empty() || families.back().name != value.name) {
    families.push_back(make_family(value.name, value.help, MetricType::Gauge));
  }
  ClientMetric metric;
  if (!value.label.name.empty()) metric.label = {make_label(value.label.name, value.label.value)};
  metric.gauge.value = value.value;
  families.back().metric.push_back(std::move(metric));
}

MetricFamily runner_states(const RunnerRegistry& runners) {
  MetricFamily family = make_family("stoathold_runners", "Runners by state.", MetricType::Gauge);
  const TimePoint now = monotonic_now();
  std::map<std::string, double> counts{{"available", 0}, {"ejected", 0}, {"leaving", 0}};
  for (const auto& [id, runner] : runners.all()) {
    const bool ejected = runner->available() && runner->ejected(now);
    ++counts[!runner->available() ? "leaving" : ejected ? "ejected" : "available"];
  }
  for (const auto& [state, count] : counts) {
    ClientMetric metric;
    metric.label = {make_label("state", state)};
    metric.gauge.value = count;
    family.metric.push_back(std::move(metric));
  }
  return family;
}

/// Adds a gauge labelled by service.
void add_service_gauge(const std::string& name, const std::string& help,
                       const std::map<std::string, double>& values,
                       std::vector<MetricFamily>& families) {
  MetricFamily family = make_family(name, help, MetricType::Gauge);
  for (const auto& [service, value] : values) {
    ClientMetric metric;
    metric.label = {make_label("service", service)};
    metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
  }
  families.push_back(std::move(family));
}

/// Adds gauges of the runners' speeds by service, if the policy uses them.
void add_runner_speeds(const GatewayContext& context, std::vector<MetricFamily>& families) {
  if (!context.load_policy.uses_runner_speeds) return;
  const TimePoint now = monotonic_now();
  std::map<std::string, SpeedSummary> services;
  for (const auto& [id, runner] : context.runners.all()) {
    services[runner->record().service].add(runner->speed(), now);
  }
  struct Column {
    const char* name;
    const char* help;
    double SpeedSummary::*value;
  };
  constexpr std::array<Column, 5> kColumns{
      Column{"stoathold_runner_slowness_max", "Greatest multiple of the usual time reported now.",
             &SpeedSummary::max_slowness},
      Column{"stoathold_runners_slow", "Runners that report over 1.5 times the usual time now.",
             &SpeedSummary::slow_runners},
      Column{"stoathold_runner_slowness_age_seconds", "Since the runner longest unheard reported.",
             &SpeedSummary::max_report_age_seconds},
      Column{"stoathold_runner_relative_time_min", "Learned time of the fastest against the mean.",
             &SpeedSummary::min_relative_time},
      Column{"stoathold_runner_relative_time_max", "Learned time of the slowest against the mean.",
             &SpeedSummary::max_relative_time}};
  for (const Column& column : kColumns) {
    std::map<std::string, double> values;
    for (const auto& [service, summary] : services) values[service] = summary.*column.value;
    add_service_gauge(column.name, column.help, values, families);
  }
  families.push_back(histogram("stoathold_first_event_expected_seconds",
                               "From sending to first event, as predicted at the choice.",
                               context.metrics.first_event_expected));
  families.push_back(histogram("stoathold_first_event_observed_seconds",
                               "The same of the same requests, as it came.",
                               context.metrics.first_event_observed));
}

MetricFamily requests_by_kind(const GatewayMetrics& metrics) {
  MetricFamily family = make_family("stoathold_requests_total",
                                    "Requests by route kind and outcome.", MetricType::Counter);
  for (const auto& [key, count] : metrics.requests) {
    add_counter(family, {make_label("kind", key.first), make_label("outcome", key.second)}, count);
  }
  return family;
}

MetricFamily tenant_requests(const GatewayMetrics& metrics) {
  MetricFamily family =
      make_family("stoathold_tenant_requests_total",
                  "Requests of tenants by whether their limit admitted them.", MetricType::Counter);
  for (const auto& [key, count] : metrics.tenant_requests) {
    add_counter(family, {make_label("tenant", key.first), make_label("decision", key.second)},
                count);
  }
  return family;
}

/// Adds metrics of waiting requests, predicted and observed waits, rejections and retries.
void add_admission(const GatewayContext& context, std::vector<MetricFamily>& families) {
  std::map<std::string, double> waiting;
  std::map<std::string, double> oldest;
  for (const auto& [service, waits] : context.placement.online_waits(monotonic_now())) {
    waiting[service] = waits.waiting;
    oldest[service] = to_seconds(waits.oldest);
  }
  add_service_gauge("stoathold_service_waiting", "Online requests that wait for a slot.", waiting,
                    families);
  add_service_gauge("stoathold_service_oldest_wait_seconds",
                    "Longest wait of an online request that waits for a slot now.", oldest,
                    families);
  const OnlineAdmission::Counters& counters = context.admission.counters();
  families.push_back(histogram("stoathold_slot_wait_seconds",
                               "Waits of online requests that got a slot.",
                               counters.observed_wait));
  families.push_back(histogram("stoathold_predicted_slot_wait_seconds",
                               "Waits predicted for online requests that found no slot.",
                               counters.predicted_wait));
  families.push_back(labelled_counters(
      "stoathold_returns_total",
      "Rejected callers that were told to come back, that were promised a slot, and of these came.",
      "step",
      {{"told", counters.retry_advised},
       {"promised", counters.promised},
       {"came", counters.retried}}));
  MetricFamily tenants = make_family(
      "stoathold_tenant_rejections_total",
      "Requests of tenants that were rejected, by reason, told to come back, or came as told.",
      MetricType::Counter);
  for (const auto& [tenant, steps] : counters.tenants) {
    for (const auto& [step, count] : steps) {
      add_counter(tenants, {make_label("tenant", tenant), make_label("step", std::string(step))},
                  count);
    }
  }
  families.push_back(std::move(tenants));
  families.push_back(labelled_counters(
      "stoathold_rejections_beside_batch_total",
      "Online requests rejected while batch held slots of the zone, and the sum of these slots.",
      "of",
      {{"requests", counters.rejections_with_batch_slots},
       {"batch_slots", counters.batch_slots_at_rejections}}));
  families.push_back(gauge("stoathold_returns_expected",
                           "Callers of the zone that were told to come back and may still come.",
                           static_cast<double>(context.admission.expected_retries())));
}

/// Adds the granted and waiting slot time of tenants and its ratio to their fair shares.
void add_shares(const FairShares& shares, std::vector<MetricFamily>& families) {
  MetricFamily granted =
      make_family("stoathold_tenant_slot_seconds_total",
                  "Slot time given to tenants by this node, as predicted.", MetricType::Counter);
  MetricFamily waiting =
      make_family("stoathold_tenant_waiting_slot_seconds",
                  "Slot time for which tenants' requests wait at this node.", MetricType::Gauge);
  MetricFamily usage_ratio = make_family(
      "stoathold_tenant_times_part",
      "Slot time of the last seconds by the tenant's part; 1: just so.", MetricType::Gauge);
  for (const TenantShareRow& row : shares.tenant_rows(monotonic_now())) {
    ClientMetric metric;
    metric.label = {make_label("service", row.service), make_label("tenant", row.tenant)};
    metric.counter.value = row.granted_seconds;
    granted.metric.push_back(metric);
    metric.gauge.value = row.waiting_seconds;
    waiting.metric.push_back(metric);
    metric.gauge.value = row.usage_ratio;
    usage_ratio.metric.push_back(metric);
  }
  families.insert(families.end(), {std::move(granted), std::move(waiting), std::move(usage_ratio)});
}

MetricFamily waits_by_class(const PriorityInversionMonitor& monitor) {
  MetricFamily family =
      make_family("stoathold_slot_waits_total",
                  "Waits for a slot by kind of request and how they ended.", MetricType::Counter);
  for (const auto& [kind, counts] : monitor.classes()) {
    for (const WaitOutcome outcome : kWaitOutcomes) {
      add_counter(family,
                  {make_label("service", kind.service), make_label("route", kind.route),
                   make_label("priority", std::to_string(kind.priority)),
                   make_label("outcome", std::string(to_string(outcome)))},
                  counts.total[static_cast<std::size_t>(outcome)]);
    }
  }
  return family;
}

/// Adds the calls to the store by outcome, and one family for each counter that is kept by topic.
void add_store_calls(const GatewayMetrics& metrics, std::vector<MetricFamily>& families) {
  families.push_back(labelled_counters("stoathold_store_calls_total",
                                       "Calls to the store by name and outcome.", "call",
                                       metrics.store_calls));
  struct Column {
    const char* name;
    const char* help;
    std::uint64_t TrafficCount::*value;
  };
  constexpr std::array<Column, 5> kColumns{
      Column{"stoathold_store_topic_calls_total", "Calls to the store by call and topic.",
             &TrafficCount::calls},
      Column{"stoathold_store_time_outs_total", "Calls given up when their time was over.",
             &TrafficCount::timeouts},
      Column{"stoathold_store_refused_total", "Calls that the store turned away or never got.",
             &TrafficCount::refused},
      Column{"stoathold_store_sent_bytes_total", "Bytes of calls to the store, without headers.",
             &TrafficCount::bytes_sent},
      Column{"stoathold_store_answered_bytes_total", "Bytes of answers that came whole.",
             &TrafficCount::bytes_received}};
  for (const Column& column : kColumns) {
    MetricFamily family = make_family(column.name, column.help, MetricType::Counter);
    for (const auto& [kind, count] : metrics.store_traffic.counts()) {
      add_counter(family, {make_label("call", kind.first), make_label("topic", kind.second)},
                  count.*column.value);
    }
    families.push_back(std::move(family));
  }
}

/// Returns the number of listed runners by service and software version.
MetricFamily runner_versions(const VersionHistory& history) {
  MetricFamily family =
      make_family("stoathold_runner_versions", "Runners by version.", MetricType::Gauge);
  for (const auto& [service, versions] : history.all()) {
    for (const auto& [version, listed] : versions) {
      ClientMetric& metric = family.metric.emplace_back();
      metric.label = {make_label("service", service), make_label("version", listed.text)};
      metric.gauge.value = listed.runners;
    }
  }
  return family;
}

/// Adds the resumptions by this node and by callers, and the runners by software version.
void add_resumptions(const GatewayContext& context, std::vector<MetricFamily>& families) {
  families.push_back(gauge("stoathold_resumes", "Streams taken up at another runner.",
                           static_cast<double>(context.metrics.resumes)));
  families.push_back(labelled_counters("stoathold_resumptions_total",
                                       "Streams taken up by callers, by origin or refusal.",
                                       "origin", context.metrics.resumptions));
  families.push_back(runner_versions(context.runners.versions()));
}

/// Adds memory use by account, refused reservations and actions taken on shortages.
void add_memory(const GatewayContext& context, std::vector<MetricFamily>& families) {
  const MemoryBudget& memory = *context.memory;
  MetricFamily used = make_family("stoathold_memory_held_bytes",
                                  "Held on behalf of others, by account.", MetricType::Gauge);
  MetricFamily peak = make_family("stoathold_memory_held_peak_bytes",
                                  "Most that was held at a time, by account.", MetricType::Gauge);
  MetricFamily refused = make_family("stoathold_memory_refusals_total",
                                     "Reservations that found no room.", MetricType::Counter);
  for (const MemoryAccount account : kAllMemoryAccounts) {
    const ClientMetric::Label label = make_label("account", std::string(to_string(account)));
    ClientMetric metric;
    metric.label = {label};
    metric.gauge.value = static_cast<double>(memory.used(account));
    used.metric.push_back(metric);
    metric.gauge.value = static_cast<double>(memory.peak(account));
    peak.metric.push_back(metric);
    add_counter(refused, {label}, memory.refusals(account));
  }
  families.push_back(std::move(used));
  families.push_back(std::move(peak));
  families.push_back(std::move(refused));
  families.push_back(gauge("stoathold_memory_budget_bytes", "For all accounts; 0: no limit.",
                           static_cast<double>(memory.limit())));
  families.push_back(labelled_counters("stoathold_shortages_total",
                                       "What was done since room for callers was short.", "act",
                                       context.metrics.shortages));
  families.push_back(gauge("stoathold_cut_off_bytes", "Held for callers that were cut off.",
                           static_cast<double>(context.metrics.cut_off_bytes)));
}

}  // namespace

std::string render_gateway_metrics(const GatewayContext& context,
                                   const std::vector<MetricValue>& gauges) {
  const GatewayMetrics& metrics = context.metrics;
  std::vector<MetricFamily> families;
  families.push_back(requests_by_kind(metrics));
  families.push_back(labelled_counters("stoathold_attempts_total",
                                       "Attempts at runners by how they ended.", "outcome",
                                       metrics.attempts));
  families.push_back(labelled_counters("stoathold_refusals_total",
                                       "Answers of the gateway's own by reason.", "reason",
                                       metrics.refusals));
  families.push_back(tenant_requests(metrics));
  add_shares(context.shares, families);
  families.push_back(waits_by_class(context.shares.inversion_monitor()));
  families.push_back(gauge("stoathold_silent_nodes",
                           "Nodes that keep their share of each limit since nobody hears them.",
                           static_cast<double>(context.tenant_limits.silent_nodes())));
  families.push_back(labelled_counters("stoathold_refused_runner_entries_total",
                                       "Entries of the runner directory that named no runner.",
                                       "reason", metrics.refused_runner_entries));
  families.push_back(labelled_counters("stoathold_batch_attempts_total",
                                       "Attempts of batch items by how they ended.", "outcome",
                                       metrics.batch_items));
  families.push_back(histogram("stoathold_first_event_seconds",
                               "From a request's arrival to its answer's first byte.",
                               metrics.first_event));
  families.push_back(histogram("stoathold_event_gap_seconds", "Between two pieces of a stream.",
                               metrics.event_gap));
  families.push_back(histogram("stoathold_store_seconds", "Calls to the store that do not wait.",
                               metrics.store_latency));
  add_store_calls(metrics, families);
  families.push_back(runner_states(context.runners));
  add_runner_speeds(context, families);
  families.push_back(gauge("stoathold_requests_open", "Requests being served.",
                           static_cast<double>(metrics.requests_open)));
  add_resumptions(context, families);
  families.push_back(gauge("stoathold_waiting_online", "Online requests that wait for a runner.",
                           static_cast<double>(context.placement.waiting(WorkClass::kOnline))));
  families.push_back(gauge("stoathold_waiting_batch", "Batch items that wait for a runner.",
                           static_cast<double>(context.placement.waiting(WorkClass::kBatch))));
  add_admission(context, families);
  families.push_back(gauge("stoathold_runner_connects", "Connections made to runners.",
                           static_cast<double>(context.pool.connects())));
  add_memory(context, families);
  const double version =
      context.configuration ? static_cast<double>(context.configuration->version) : 0;
  families.push_back(
      gauge("stoathold_configuration_version", "Version of the configuration in force.", version));
  for (const auto& value : gauges) add_gauge(value, families);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace stoathold
