#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cereal/external/base64.hpp>

#include "emulator/admin.h"
#include "emulator/emulated_service.h"
#include "emulator/log_model.h"
#include "net/http_target.h"
#include "platform/record_framing.h"

namespace stoathold::emulator {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Marks calls of the operator, which are exempt from injected faults.
constexpr const char* kOperatorHeader = "X-Operator";
constexpr std::uint32_t kPartitions = 8;
/// Period at which a long-polling read checks for new records.
constexpr Duration kPollPeriod = std::chrono::milliseconds(5);

/// Injected faults, set by tests.
struct StoreFaults {
  std::string outage;  ///< `silent`, `busy`, `reset`, or empty.
  std::uint64_t lost_responses = 0;
  std::uint64_t delayed_appends = 0;  ///< Get no response and are applied `append_delay_ms` later.
  std::uint64_t append_delay_ms = 500;
  std::uint64_t delay_ms = 0;
};

void append_big_endian(std::string& bytes, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((number >> shift) & 0xFFU));
  }
}

/// Parses framed records. The format is that of a read response without its two leading numbers.
bool parse_append(const std::string& body, std::vector<KeyedRecord>& records) {
  ReadResult parsed;
  const std::string framed = std::string(16, '\0') + body;
  if (!platform::parse_records(framed, 0, parsed)) return false;
  for (auto& record : parsed.records) {
    records.push_back({std::move(record.key), std::move(record.value)});
  }
  return true;
}

/// Serves the metadata store's API from a `LogModel` and a `GroupModel`, with injected faults.
class EmulatedMetadataStore final : public EmulatedService {
 public:
  EmulatedMetadataStore(const asio::any_io_executor& executor, const std::string& listen,
                        AppendLimits limits)
      : executor_(executor),
        limits_(limits),
        server_(executor, listen, HttpLimits{},
                [this](HttpExchange& exchange) { return serve(exchange); }) {
    server_.start();
  }

  std::string address() const override { return server_.address(); }

 private:
  static asio::awaitable<void> sleep_for(asio::any_io_executor executor, Duration duration) {
    asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  static bool is_subject_to_faults(const HttpExchange& exchange) {
    return exchange.header(kOperatorHeader).empty();
  }

  /// Applies the active faults to a call.
  /// @return whether a fault has ended the call.
  asio::awaitable<bool> apply_faults(HttpExchange& exchange) {
    if (faults_.delay_ms > 0) {
      co_await sleep_for(exchange.executor(), std::chrono::milliseconds(faults_.delay_ms));
    }
    if (faults_.outage == "busy") {
      co_await exchange.respond(503, "application/json", "{}");
      co_return true;
    }
    if (faults_.outage == "reset") {
      exchange.abort();
      co_return true;
    }
    while (faults_.outage == "silent") co_await sleep_for(exchange.executor(), kPollPeriod);
    co_return false;
  }

  asio::awaitable<void> serve(HttpExchange& exchange) {
    if (exchange.target() == "/admin/faults") {
      co_await set_faults(exchange);
      co_return;
    }
    ++calls_;
    const bool faulty = is_subject_to_faults(exchange);
    const bool answered = faulty && co_await apply_faults(exchange);
    if (answered) co_return;
    const auto target = parse_target(exchange.target());
    if (!target || target->segments.size() != 2) {
      co_await exchange.respond(404, "application/json", "{}");
      co_return;
    }
    const std::string& call = target->segments[1];
    if (call == "log-append") {
      co_await append(exchange, *target);
    } else if (call == "log-read") {
      co_await read(exchange, *target);
    } else if (call == "log-newest") {
      co_await read_newest(exchange, *target);
    } else if (call == "log-join") {
      co_await join(exchange);
    } else if (call == "log-leave") {
      co_await leave(exchange);
    } else if (call == "log-owners") {
      co_await owners(exchange, *target);
    } else {
      co_await exchange.respond(404, "application/json", "{}");
    }
  }

  asio::awaitable<void> set_faults(HttpExchange& exchange) {
    json::object body;
    const bool readable = co_await read_admin_body(exchange, body);
    if (!readable) co_return;
    if (const auto* outage = body.if_contains("outage")) {
      faults_.outage = std::string(outage->as_string());
    }
    read_number_field(body, "lose_answers", faults_.lost_responses);
    read_number_field(body, "late_appends", faults_.delayed_appends);
    read_number_field(body, "late_ms", faults_.append_delay_ms);
    read_number_field(body, "delay_ms", faults_.delay_ms);
    if (body.contains("drop_history")) model_.drop_history();
    co_await confirm_admin_request(exchange, "metadata-store");
  }

  static PartitionName partition_of(const HttpTarget& target) {
    return {target.parameter("topic").value_or(""),
            static_cast<std::uint32_t>(target.number("part", 0))};
  }

  [[nodiscard]] bool is_within_limits(const std::string& body,
                                      const std::vector<KeyedRecord>& records) const {
    if (limits_.call_bytes > 0 && body.size() > limits_.call_bytes) return false;
    return limits_.record_bytes == 0 ||
           std::all_of(records.begin(), records.end(), [this](const KeyedRecord& record) {
             return 1 + record.key.size() + record.value.size() <= limits_.record_bytes;
           });
  }

  asio::awaitable<void> append(HttpExchange& exchange, const HttpTarget& target) {
    std::vector<KeyedRecord> records;
    if (!parse_append(exchange.body(), records)) {
      co_await exchange.respond(400, "application/json", "{}");
      co_return;
    }
    if (is_subject_to_faults(exchange) && !is_within_limits(exchange.body(), records)) {
      co_await exchange.respond(413, "application/json", "{}");
      co_return;
    }
    std::optional<RecordOffset> expected;
    if (target.parameter("at")) expected = target.number("at", 0);
    const PartitionName name = partition_of(target);
    const bool faulty = is_subject_to_faults(exchange);
    if (faulty && faults_.delayed_appends > 0) {
      --faults_.delayed_appends;
      const Duration delay = std::chrono::milliseconds(faults_.append_delay_ms);
      asio::co_spawn(
          executor_,
          [this, name, records, expected, delay]() -> asio::awaitable<void> {
            co_await sleep_for(executor_, delay);
            model_.append(name, records, expected);
          },
          asio::detached);
      exchange.abort();
      co_return;
    }
    const AppendResult result = model_.append(name, records, expected);
    if (faulty && faults_.lost_responses > 0) {
      --faults_.lost_responses;
      exchange.abort();
      co_return;
    }
    json::object answer;
    answer["offset"] = result.offset;
    answer["end"] = result.end;
    const int status = result.status == LogStatus::kOk ? 200 : 412;
    std::string text = json::serialize(answer);
    co_await exchange.respond(status, "application/json", std::move(text));
  }

  asio::awaitable<void> read(HttpExchange& exchange, const HttpTarget& target) {
    const PartitionName name = partition_of(target);
    const RecordOffset from = target.number("from", 0);
    const std::uint64_t bytes = target.number("max_kb", 1024) * 1024;
    const TimePoint until =
        monotonic_now() + std::chrono::milliseconds(target.number("wait_ms", 0));
    ReadResult result = model_.read(name, from, bytes);
    while (result.status == LogStatus::kOk && result.records.empty() && monotonic_now() < until &&
           faults_.outage.empty()) {
      co_await sleep_for(exchange.executor(), kPollPeriod);
      result = model_.read(name, from, bytes);
    }
    if (result.status != LogStatus::kOk) {
      co_await exchange.respond(410, "application/json", R"({"first":0})");
      co_return;
    }
    std::vector<KeyedRecord> records;
    for (auto& record : result.records) records.push_back({record.key, record.value});
    std::string body;
    append_big_endian(body, result.end);
    append_big_endian(body, 0);
    body += platform::frame_records(records);
    co_await exchange.respond(200, "application/octet-stream", std::move(body));
  }

  asio::awaitable<void> read_newest(HttpExchange& exchange, const HttpTarget& target) {
    const NewestPage page =
        model_.read_newest_page(partition_of(target), target.parameter("after_rev").value_or(""));
    json::array items;
    for (const auto& record : page.records) {
      json::object item;
      item["tls_key"] = record.key;
      item["value"] = cereal::base64::encode(
          reinterpret_cast<const unsigned char*>(record.value.data()), record.value.size());
      item["offset"] = record.offset;
      items.push_back(std::move(item));
    }
    json::object answer;
    answer["more"] = page.more;
    answer["items"] = std::move(items);
    answer["end"] = page.end;
    std::string text = json::serialize(answer);
    co_await exchange.respond(200, "application/json", std::move(text));
  }

  /// Supports a single group, since the nodes use only one.
  asio::awaitable<void> join(HttpExchange& exchange) {
    json::object body;
    const bool readable = co_await read_admin_body(exchange, body);
    if (!readable) co_return;
    const json::array& topics = body["topics"].as_array();
    if (!group_) {
      group_.emplace(static_cast<std::uint32_t>(topics.size()) * kPartitions);
      for (const auto& topic : topics) topics_.emplace_back(topic.as_string());
    }
    GroupMember member;
    member.name = std::string(body["member"].as_string());
    member.time_to_live = std::chrono::milliseconds(body["ttl_ms"].to_number<std::int64_t>());
    member.generation = body["generation"].to_number<std::uint64_t>();
    const GroupAssignment assignment = group_->join(member, monotonic_now());
    json::array parts;
    for (const std::uint32_t slot : assignment.slots) parts.push_back(slot_row(slot));
    json::object answer;
    answer["generation"] = assignment.generation;
    answer["parts"] = std::move(parts);
    std::string text = json::serialize(answer);
    co_await exchange.respond(200, "application/json", std::move(text));
  }

  json::array slot_row(std::uint32_t slot) const {
    json::array row;
    row.emplace_back(topics_[slot / kPartitions]);
    row.emplace_back(slot % kPartitions);
    row.emplace_back(0);
    return row;
  }

  asio::awaitable<void> leave(HttpExchange& exchange) {
    json::object body;
    const bool readable = co_await read_admin_body(exchange, body);
    if (!readable) co_return;
    if (group_) group_->leave(std::string(body["member"].as_string()), monotonic_now());
    co_await exchange.respond(200, "application/json", "{}");
  }

  asio::awaitable<void> owners(HttpExchange& exchange, const HttpTarget& /*target*/) {
    json::array rows;
    if (group_) {
      for (const auto& [slot, member] : group_->owners()) {
        json::array row = slot_row(slot);
        row.insert(row.begin() + 2, boost::json::value(member));
        rows.push_back(std::move(row));
      }
    }
    json::object answer;
    answer["parts"] = std::move(rows);
    std::string text = json::serialize(answer);
    co_await exchange.respond(200, "application/json", std::move(text));
  }

  asio::any_io_executor executor_;
  AppendLimits limits_;
  LogModel model_;
  std::optional<GroupModel> group_;
  std::vector<std::string> topics_;
  StoreFaults faults_;
  std::uint64_t calls_ = 0;
  HttpServer server_;
};

}  // namespace

std::unique_ptr<EmulatedService> make_metadata_store(const asio::any_io_executor& executor,
                                                     const std::string& listen,
                                                     AppendLimits limits) {
  return std::make_unique<EmulatedMetadataStore>(executor, listen, limits);
}

}  // namespace stoathold::emulator
