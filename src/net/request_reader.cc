#include "net/request_reader.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <limits>

#include "base/random.h"
#include "net/server_exchange.h"

namespace stoathold {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Copies of a body that exist at the same time: the received one, and the one that is being
/// written to a runner.
constexpr std::uint64_t kBodyCopies = 2;
/// Copies of the bytes of a head: as parsed, and as sent to a runner.
constexpr std::uint64_t kHeadCopies = 2;
/// Memory of one field of a head apart from its bytes: as parsed, as a pair of strings, and as
/// encoded for a runner.
constexpr std::uint64_t kFieldOverheadBytes = 256;
/// Memory of a head that `kConnectionOverheadBytes` includes.
constexpr std::uint64_t kIncludedHeadBytes = 8UL * 1024;
/// Memory for one more read of a body of unknown length: as much as the parser reads at once.
constexpr std::size_t kReadChunkBytes = 64UL * 1024;
/// A client that sends a body makes progress with each block of this size: 4 kB/s at the stall
/// threshold. Single bytes now and then do not count as progress.
constexpr std::size_t kProgressBytes = 4UL * 1024;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;
constexpr std::string_view kUnreadable = "the request could not be read";
constexpr std::string_view kFramingTooLarge =
    "a chunk's extension or the trailers of the request are too long";
constexpr std::string_view kTooLargeForMemory = "the request is larger than this node can hold";
constexpr std::string_view kOutOfMemory = "this node has no memory for the request now";
constexpr std::string_view kBodyTooSlow =
    "the request's body came too slowly while memory was short";

/// Memory is usually released within a second, as requests complete. Retries are spread over the
/// same time again, so that the clients do not return all at once.
constexpr double kRetryAfterSeconds = 0.5;
constexpr double kRetrySpreadSeconds = 0.5;

/// Limits of the time and bytes that are read and discarded after a rejection, while the client is
/// still sending: a body of the usual limit of 4 MB may be under way.
constexpr Duration kDiscardTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxDiscardedBytes = 8UL * 1024 * 1024;
constexpr std::size_t kDiscardChunkBytes = 16UL * 1024;

RequestReadResult result_of(const beast::error_code& error) {
  RequestReadResult result;
  result.reason = kUnreadable;
  if (error == http::error::header_limit) {
    result.status = kHeaderTooLarge;
  } else if (error == http::error::buffer_overflow) {
    result.status = kHeaderTooLarge;
    result.reason = kFramingTooLarge;
  } else if (error == http::error::body_limit) {
    result.status = kTooLarge;
  } else if (error == beast::error::timeout) {
    result.status = kRequestTimeout;
  } else if (error == http::error::end_of_stream || error == http::error::partial_message) {
    result.status = 0;
  } else if (error.category() == http::make_error_code(http::error::bad_method).category()) {
    result.status = kBadRequest;
  }
  return result;
}

std::string retry_after_text() {
  const double seconds = kRetryAfterSeconds + kRetrySpreadSeconds * process_random().unit();
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.2f", seconds);
  return text.data();
}

}  // namespace

void RequestBodyBuffer::make_reclaimable() {
  if (registered_) return;
  registered_ = true;
  registered_at_ = monotonic_now();
  last_progress_ = registered_at_;
  buffer_registry_.add(*this);
}

void RequestBodyBuffer::on_bytes_received(std::size_t bytes) {
  bytes_since_progress_ += bytes;
  if (bytes_since_progress_ < kProgressBytes) return;
  bytes_since_progress_ = 0;
  last_progress_ = monotonic_now();
}

void RequestBodyBuffer::reclaim() {
  const TimePoint now = monotonic_now();
  resource_limits_.report({.action = OverloadAction::kBodyAborted,
                           .status = kUnavailable,
                           .bytes = reserved_bytes(),
                           .held_for = now - registered_at_,
                           .stalled = now - last_progress_});
  buffer_registry_.remove(*this);
  reclaimed_ = true;
  reservation_.release();
  stream_.cancel();
}

RequestReader::RequestReader(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                             const HttpLimits& limits, const ServerResourceLimits& resource_limits,
                             ReclaimableBufferRegistry& buffer_registry)
    : stream_(stream),
      buffer_(buffer),
      limits_(limits),
      resource_limits_(resource_limits),
      body_buffer_(stream, resource_limits, buffer_registry) {
  parser_.header_limit(limits.header_bytes);
  parser_.body_limit(limits.body_bytes);
}

asio::awaitable<RequestReadResult> RequestReader::read_head() {
  stream_.expires_after(limits_.header_timeout);
  beast::error_code error = http::error::need_more;
  while (error) {
    error = parse_head(parser_, buffer_, limits_.header_bytes, head_size_);
    if (error && error != http::error::need_more) co_return result_of(error);
    const std::optional<RequestReadResult> rejection = reserve_head();
    if (rejection) co_return *rejection;
    if (!error) break;
    const beast::error_code receive_error = co_await receive_head_bytes(stream_, buffer_, parser_);
    if (receive_error) co_return result_of(receive_error);
  }
  const std::optional<RequestReadResult> rejection = reserve_body();
  if (rejection) co_return *rejection;
  const RequestReadResult complete{true, 0, {}};
  co_return complete;
}

std::optional<RequestReadResult> RequestReader::reserve_head() {
  if (!resource_limits_.limited()) return std::nullopt;
  const std::uint64_t bytes =
      kHeadCopies * head_size_.bytes + kFieldOverheadBytes * head_size_.lines;
  const std::uint64_t required = bytes > kIncludedHeadBytes ? bytes - kIncludedHeadBytes : 0;
  if (required <= head_reservation_.bytes()) return std::nullopt;
  constexpr MemoryAccount kAccount = MemoryAccount::kRequestHeads;
  if (head_reservation_.bytes() == 0) {
    head_reservation_ = resource_limits_.budget->charge(kAccount, 0);
  }
  const bool reserved = head_reservation_.grow(required - head_reservation_.bytes());
  if (!reserved) return reject_for_memory(kAccount, required);
  return std::nullopt;
}

std::optional<RequestReadResult> RequestReader::reserve_trailers() {
  const auto& fields = parser_.get().base();
  const auto count = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
  if (count <= head_size_.lines) return std::nullopt;
  head_size_.lines = count;
  return reserve_head();
}

std::optional<RequestReadResult> RequestReader::reserve_body() {
  if (!resource_limits_.limited() || parser_.is_done()) return std::nullopt;
  const auto length = parser_.content_length();
  if (!length) {
    body_buffer_.reservation() = resource_limits_.budget->charge(MemoryAccount::kRequestBodies, 0);
    return reserve_growth();
  }
  // The parser has already checked the length against the configured limit.
  constexpr std::uint64_t kMaxBytes =
      std::numeric_limits<std::uint64_t>::max() - kConnectionOverheadBytes;
  const std::uint64_t bytes = *length > kMaxBytes / kBodyCopies ? kMaxBytes : *length * kBodyCopies;
  auto reservation = resource_limits_.budget->reserve(MemoryAccount::kRequestBodies, bytes);
  if (!reservation) return reject_for_memory(MemoryAccount::kRequestBodies, bytes);
  body_buffer_.reservation() = std::move(*reservation);
  return std::nullopt;
}

/// Reserves memory for the next read of a body of unknown length. While memory is free, reserves
/// twice the current size, so that the body is seldom copied; no other buffer is reclaimed for that
/// surplus.
std::optional<RequestReadResult> RequestReader::reserve_growth() {
  if (!resource_limits_.limited() || parser_.content_length()) return std::nullopt;
  std::string& body = parser_.get().body();
  MemoryReservation& reservation = body_buffer_.reservation();
  const std::uint64_t required = kBodyCopies * (body.size() + kReadChunkBytes);
  if (reservation.bytes() >= required) return std::nullopt;
  const std::uint64_t preferred = kBodyCopies * (2 * body.size() + kReadChunkBytes);
  const std::uint64_t preferred_growth = preferred - reservation.bytes();
  const bool preferred_fits =
      resource_limits_.budget->fits(MemoryAccount::kRequestBodies, preferred_growth);
  const std::uint64_t target = preferred_fits ? preferred : required;
  if (!reservation.grow(target - reservation.bytes())) {
    return reject_for_memory(MemoryAccount::kRequestBodies, required);
  }
  body.reserve(target / kBodyCopies);
  return std::nullopt;
}

/// Returns the rejection of a request that does not fit: 413 if it could never fit together with
/// its own connection, 503 otherwise.
RequestReadResult RequestReader::reject_for_memory(MemoryAccount account, std::uint64_t bytes) {
  const bool can_fit =
      resource_limits_.budget->can_ever_fit(account, bytes + kConnectionOverheadBytes);
  RequestReadResult result;
  result.status = can_fit ? kUnavailable : kTooLarge;
  result.reason = can_fit ? kOutOfMemory : kTooLargeForMemory;
  resource_limits_.report(
      {.action = OverloadAction::kBodyRefused, .status = result.status, .bytes = bytes});
  return result;
}

asio::awaitable<RequestReadResult> RequestReader::read_body() {
  if (beast::iequals(parser_.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> proceed{http::status::continue_, 11};
    co_await http::async_write(stream_, proceed, kNoThrow);
  }
  stream_.expires_after(limits_.body_timeout);
  parser_.eager(true);
  while (!parser_.is_done()) {
    const std::optional<RequestReadResult> rejection = reserve_growth();
    if (rejection) co_return *rejection;
    const auto [error, count] = co_await http::async_read_some(stream_, buffer_, parser_, kNoThrow);
    if (body_buffer_.was_reclaimed()) {
      const RequestReadResult too_slow{false, kUnavailable, kBodyTooSlow};
      co_return too_slow;
    }
    if (error) co_return result_of(error);
    body_buffer_.on_bytes_received(count);
    if (!parser_.is_done() && resource_limits_.limited()) body_buffer_.make_reclaimable();
  }
  const std::optional<RequestReadResult> rejection = reserve_trailers();
  if (rejection) co_return *rejection;
  const RequestReadResult complete{true, 0, {}};
  co_return complete;
}

void RequestReader::release_request() {
  // Assigning an empty string would keep the capacity.
  std::string().swap(parser_.get().body());
  parser_.get().base().clear();
  buffer_.clear();
  body_buffer_.reservation().release();
  head_reservation_.release();
}

asio::awaitable<void> RequestReader::reject(RequestReadResult result) {
  release_request();
  http::response<http::string_body> response{static_cast<http::status>(result.status), 11};
  response.set(http::field::server, kServerName);
  response.set(http::field::content_type, "application/json");
  if (result.status == kUnavailable) response.set(http::field::retry_after, retry_after_text());
  response.keep_alive(false);
  response.body() = R"({"error":{"code":100,"message":")" + std::string(result.reason) +
                    R"(","execution":"not_run","step":"parse","peer":""}})";
  response.prepare_payload();
  stream_.expires_after(std::chrono::seconds(2));
  const auto [error, count] = co_await http::async_write(stream_, response, kNoThrow);
  if (!error) co_await discard_unread();
}

/// Reads and discards what the client is still sending. If the connection were closed with unread
/// bytes, the kernel would reset it, and the client would lose the response that it has not read
/// yet.
asio::awaitable<void> RequestReader::discard_unread() {
  boost::system::error_code shutdown_error;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, shutdown_error);
  if (shutdown_error) co_return;
  stream_.expires_after(kDiscardTimeout);
  for (std::size_t total = 0; total < kMaxDiscardedBytes;) {
    const auto discarded = buffer_.prepare(kDiscardChunkBytes);
    const auto [error, count] = co_await stream_.async_read_some(discarded, kNoThrow);
    if (error) co_return;
    total += count;
  }
}

}  // namespace stoathold
