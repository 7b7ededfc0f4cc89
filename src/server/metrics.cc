#include "server/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <sys/time.h>

#include <fstream>

#include "server/node_runtime.h"

namespace stoathold {
namespace {

void set_gauge(prometheus::Registry& registry, const char* name, const char* help, double value,
               const prometheus::Labels& labels = {}) {
  prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(labels).Set(value);
}

void set_counter(prometheus::Registry& registry, const char* name, const char* help,
                 std::uint64_t value, const prometheus::Labels& labels = {}) {
  auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
  family.Add(labels).Increment(static_cast<double>(value));
}

double cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double resident_bytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  constexpr double kPageBytes = 4096;
  return resident_pages * kPageBytes;
}

void add_peer_traffic(prometheus::Registry& registry, const PeerTraffic& traffic) {
  set_counter(registry, "stoathold_peer_messages_total", "Peer messages.", traffic.messages_in,
              {{"direction", "in"}});
  set_counter(registry, "stoathold_peer_messages_total", "Peer messages.", traffic.messages_out,
              {{"direction", "out"}});
  set_counter(registry, "stoathold_peer_bytes_total", "Bytes of the peer protocol.",
              traffic.bytes_in, {{"direction", "in"}});
  set_counter(registry, "stoathold_peer_bytes_total", "Bytes of the peer protocol.",
              traffic.bytes_out, {{"direction", "out"}});
  set_counter(registry, "stoathold_peer_dropped_total", "Peer messages given up.", traffic.dropped);
}

void add_batch(prometheus::Registry& registry, const NodeCore& core) {
  const auto counters = core.batch().counters();
  set_counter(registry, "stoathold_batch_started_total", "Batch streams started.",
              counters.started);
  set_counter(registry, "stoathold_batch_finished_total", "Batch streams finished.",
              counters.finished);
  set_counter(registry, "stoathold_batch_yielded_total", "Batch streams paused for online work.",
              counters.preempted);
  for (const auto& statistics : core.batch().statistics()) {
    const auto view = core.runners().find(statistics.runner);
    const prometheus::Labels labels{{"runner", view ? view->listed.name : "unknown"}};
    set_gauge(registry, "stoathold_runner_online_streams", "Online streams at an owned runner.",
              statistics.online, labels);
    set_gauge(registry, "stoathold_runner_batch_streams", "Batch streams at an owned runner.",
              statistics.batch, labels);
    set_gauge(registry, "stoathold_runner_batch_limit", "Batch limit of an owned runner.",
              statistics.limit, labels);
    set_gauge(registry, "stoathold_runner_reserve", "Places kept free for online bursts.",
              statistics.reserve, labels);
  }
}

}  // namespace

std::string render_metrics(NodeRuntime& runtime) {
  prometheus::Registry registry(prometheus::Registry::InsertBehavior::Merge);
  const auto& core = runtime.core();
  const auto online = core.online().counters();
  set_counter(registry, "stoathold_online_admitted_total", "Online requests admitted.",
              online.admitted);
  set_counter(registry, "stoathold_online_completed_total", "Online requests completed.",
              online.completed);
  set_counter(registry, "stoathold_online_refused_total", "Online requests refused, not run.",
              online.refused);
  set_counter(registry, "stoathold_online_failed_total", "Online requests given up after dispatch.",
              online.failed);
  set_counter(registry, "stoathold_online_dispatches_total", "Streams opened for online requests.",
              online.dispatches);
  set_counter(registry, "stoathold_online_retries_total", "Dispatches repeated.", online.retries);
  set_gauge(registry, "stoathold_online_open", "Online requests in progress.",
            static_cast<double>(core.online().open_requests()));
  set_gauge(registry, "stoathold_shards_owned", "Job shards whose lease this node holds.",
            core.shards().owned_shards());
  set_gauge(registry, "stoathold_members", "Members known.",
            static_cast<double>(core.membership().list().size()));
  set_gauge(registry, "stoathold_configuration_next_offset", "Next configuration offset.",
            static_cast<double>(value_of(core.configuration().next_offset())));
  set_gauge(registry, "process_cpu_seconds", "Processor time used.", cpu_seconds());
  set_gauge(registry, "process_resident_memory_bytes", "Resident memory.", resident_bytes());
  add_peer_traffic(registry, runtime.traffic());
  add_batch(registry, core);
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace stoathold
