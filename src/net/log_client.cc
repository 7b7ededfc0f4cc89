#include "net/log_client.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <charconv>

namespace stoathold {
namespace {

namespace asio = boost::asio;

/// Largest page of entries.
constexpr std::uint64_t kMaxReplyBytes = 256ULL * 1024 * 1024;
constexpr std::size_t kUint64Bytes = 8;
constexpr unsigned kByteBits = 8;

void append_uint64(std::string& body, std::uint64_t value) {
  for (std::size_t i = 0; i < kUint64Bytes; ++i) {
    body.push_back(static_cast<char>((value >> (i * kByteBits)) & 0xffU));
  }
}

std::uint64_t read_uint64(const char* bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < kUint64Bytes; ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (i * kByteBits);
  }
  return value;
}

bool parse_offset(std::string_view text, Offset& offset) {
  std::uint64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  offset = Offset{value};
  return result.ec == std::errc{};
}

class HttpLogClient final : public LogClient {
 public:
  HttpLogClient(const asio::any_io_executor& executor, std::string address, Duration timeout)
      : executor_(executor),
        client_(std::make_shared<HttpClient>(executor)),
        address_(std::move(address)),
        timeout_(timeout) {}

  void append(const std::string& stream, std::string bytes, Appended done) override {
    HttpCall call = base_call("POST", "/v1/streams/" + stream);
    call.content_type = "application/octet-stream";
    call.body = std::move(bytes);
    spawn(run_append(client_, std::move(call), std::move(done)));
  }

  void read(const std::string& stream, Offset from, std::uint32_t limit, Read done) override {
    const std::string target = "/v1/streams/" + stream + "?from=" + std::to_string(value_of(from)) +
                               "&limit=" + std::to_string(limit);
    spawn(run_read(client_, base_call("GET", target), std::move(done)));
  }

  void head(const std::string& stream, Head done) override {
    auto call = base_call("GET", "/v1/streams/" + stream + "?from=1&limit=0");
    spawn(run_head(client_, std::move(call), std::move(done)));
  }

 private:
  HttpCall base_call(std::string method, std::string target) const {
    HttpCall call;
    call.address = address_;
    call.method = std::move(method);
    call.target = std::move(target);
    call.timeout = timeout_;
    call.max_reply_bytes = kMaxReplyBytes;
    return call;
  }

  void spawn(asio::awaitable<void> work) {
    asio::co_spawn(asio::make_strand(executor_), std::move(work), asio::detached);
  }

  static asio::awaitable<void> run_append(std::shared_ptr<HttpClient> client, HttpCall call,
                                          Appended done) {
    const HttpReply reply = co_await client->call(std::move(call));
    Offset offset{};
    const bool ok = reply.ok() && parse_offset(reply.body, offset);
    done(ok ? LogStatus::kOk : LogStatus::kUnknown, offset);
  }

  static asio::awaitable<void> run_read(std::shared_ptr<HttpClient> client, HttpCall call,
                                        Read done) {
    const HttpReply reply = co_await client->call(std::move(call));
    Offset head{};
    std::vector<LogEntry> entries;
    const bool ok = reply.ok() && parse_offset(reply.header(kLogHeadHeader), head) &&
                    parse_entries(reply.body, entries);
    done(ok ? LogStatus::kOk : LogStatus::kUnknown, std::move(entries), head);
  }

  static asio::awaitable<void> run_head(std::shared_ptr<HttpClient> client, HttpCall call,
                                        Head done) {
    const HttpReply reply = co_await client->call(std::move(call));
    Offset head{};
    const bool ok = reply.ok() && parse_offset(reply.header(kLogHeadHeader), head);
    done(ok ? LogStatus::kOk : LogStatus::kUnknown, head);
  }

  asio::any_io_executor executor_;
  std::shared_ptr<HttpClient> client_;
  const std::string address_;
  const Duration timeout_;
};

}  // namespace

std::string frame_entries(const std::vector<LogEntry>& entries) {
  std::string body;
  for (const auto& entry : entries) {
    append_uint64(body, value_of(entry.offset));
    append_uint64(body, entry.bytes.size());
    body += entry.bytes;
  }
  return body;
}

bool parse_entries(const std::string& body, std::vector<LogEntry>& entries) {
  std::size_t position = 0;
  while (position < body.size()) {
    if (body.size() - position < 2 * kUint64Bytes) return false;
    const Offset offset{read_uint64(body.data() + position)};
    const std::uint64_t size = read_uint64(body.data() + position + kUint64Bytes);
    position += 2 * kUint64Bytes;
    if (size > body.size() - position) return false;
    entries.push_back({offset, body.substr(position, size)});
    position += size;
  }
  return true;
}

std::unique_ptr<LogClient> make_http_log_client(const asio::any_io_executor& executor,
                                                std::string address, Duration timeout) {
  return std::make_unique<HttpLogClient>(executor, std::move(address), timeout);
}

}  // namespace stoathold
