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

/// Copies of a body that exist at a time: the one that was read, and the one that is written to a
/// runner.
constexpr std::uint64_t kBodyCopies = 2;
/// Room for one more read of a body without a stated length: as much as the parser reads at once.
constexpr std::size_t kReadRoom = 64UL * 1024;
/// A body that comes makes progress with so many bytes: 4 kB a second, given the time after which
/// a caller counts as stalled. A byte now and then is none.
constexpr std::size_t kProgressBytes = 4UL * 1024;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;
constexpr std::string_view kUnreadable = "the request could not be read";
constexpr std::string_view kNeverFits = "the request's body is larger than this node can hold";
constexpr std::string_view kNoRoomNow = "this node has no memory for the request's body now";
constexpr std::string_view kTooSlow = "the request's body came too slowly while memory was short";

/// Room is given back as requests end, within a second or so. Callers come back spread over as much
/// time again, so that they do not all meet.
constexpr double kRetryAfterSeconds = 0.5;
constexpr double kRetrySpreadSeconds = 0.5;

/// A caller that is still sending reads its refusal within this time and these bytes: a body of the
/// usual limit of 4 MB may be under way.
constexpr Duration kDropTime = std::chrono::seconds(2);
constexpr std::size_t kDropBytes = 8UL * 1024 * 1024;
constexpr std::size_t kDropStep = 16UL * 1024;

ReadOutcome outcome_of(const beast::error_code& error) {
  ReadOutcome outcome;
  outcome.reason = kUnreadable;
  if (error == http::error::header_limit) {
    outcome.status = kHeaderTooLarge;
  } else if (error == http::error::body_limit) {
    outcome.status = kTooLarge;
  } else if (error == beast::error::timeout) {
    outcome.status = kRequestTimeout;
  } else if (error == http::error::end_of_stream || error == http::error::partial_message) {
    outcome.status = 0;
  } else if (error.category() == http::make_error_code(http::error::bad_method).category()) {
    outcome.status = kBadRequest;
  }
  return outcome;
}

std::string retry_after_text() {
  const double seconds = kRetryAfterSeconds + kRetrySpreadSeconds * process_random().unit();
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.2f", seconds);
  return text.data();
}

}  // namespace

void BodyHolder::hold() {
  if (held_) return;
  held_ = true;
  since_ = monotonic_now();
  last_progress_ = since_;
  holders_.add(*this);
}

void BodyHolder::came(std::size_t bytes) {
  bytes_since_progress_ += bytes;
  if (bytes_since_progress_ < kProgressBytes) return;
  bytes_since_progress_ = 0;
  last_progress_ = monotonic_now();
}

void BodyHolder::cut_off() {
  const TimePoint now = monotonic_now();
  bounds_.tell({.act = ShortageAct::kBodyCutOff,
                .status = kUnavailable,
                .bytes = held_bytes(),
                .age = now - since_,
                .stalled = now - last_progress_});
  holders_.remove(*this);
  cut_off_ = true;
  reservation_.release();
  stream_.cancel();
}

RequestReader::RequestReader(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                             const HttpLimits& limits, const ServerBounds& bounds,
                             ByteHolders& holders)
    : stream_(stream),
      buffer_(buffer),
      limits_(limits),
      bounds_(bounds),
      holder_(stream, bounds, holders) {
  parser_.header_limit(limits.header_bytes);
  parser_.body_limit(limits.body_bytes);
}

asio::awaitable<ReadOutcome> RequestReader::read_head() {
  stream_.expires_after(limits_.header_timeout);
  const auto [error, count] = co_await http::async_read_header(stream_, buffer_, parser_, kNoThrow);
  if (error) co_return outcome_of(error);
  const std::optional<ReadOutcome> refused = reserve_body();
  if (refused) co_return *refused;
  const ReadOutcome whole{true, 0, {}};
  co_return whole;
}

std::optional<ReadOutcome> RequestReader::reserve_body() {
  if (!bounds_.limited() || parser_.is_done()) return std::nullopt;
  const auto length = parser_.content_length();
  if (!length) {
    holder_.reservation() = bounds_.budget->charge(MemoryAccount::kRequestBodies, 0);
    return reserve_growth();
  }
  // The parser has compared the length with the limit of the configuration already.
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint64_t>::max() - kConnectionBytes;
  const std::uint64_t bytes = *length > kMost / kBodyCopies ? kMost : *length * kBodyCopies;
  auto reservation = bounds_.budget->reserve(MemoryAccount::kRequestBodies, bytes);
  if (!reservation) return refusal_for_room(bytes);
  holder_.reservation() = std::move(*reservation);
  return std::nullopt;
}

/// A body without a stated length has room for what the next read may bring. Twice its size is
/// taken while that is free, so that it is copied seldom; nobody is cut off for that.
std::optional<ReadOutcome> RequestReader::reserve_growth() {
  if (!bounds_.limited() || parser_.content_length()) return std::nullopt;
  std::string& body = parser_.get().body();
  MemoryReservation& reservation = holder_.reservation();
  const std::uint64_t least = kBodyCopies * (body.size() + kReadRoom);
  if (reservation.bytes() >= least) return std::nullopt;
  const std::uint64_t ample = kBodyCopies * (2 * body.size() + kReadRoom);
  const std::uint64_t ample_more = ample - reservation.bytes();
  const bool ample_fits = bounds_.budget->has_room(MemoryAccount::kRequestBodies, ample_more);
  const std::uint64_t taken = ample_fits ? ample : least;
  if (!reservation.grow(taken - reservation.bytes())) return refusal_for_room(least);
  body.reserve(taken / kBodyCopies);
  return std::nullopt;
}

/// Never fits what does not fit beside the connection that brings it.
ReadOutcome RequestReader::refusal_for_room(std::uint64_t bytes) {
  const bool ever =
      bounds_.budget->can_ever_fit(MemoryAccount::kRequestBodies, bytes + kConnectionBytes);
  ReadOutcome outcome;
  outcome.status = ever ? kUnavailable : kTooLarge;
  outcome.reason = ever ? kNoRoomNow : kNeverFits;
  bounds_.tell({.act = ShortageAct::kBodyRefused, .status = outcome.status, .bytes = bytes});
  return outcome;
}

asio::awaitable<ReadOutcome> RequestReader::read_body() {
  if (beast::iequals(parser_.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> proceed{http::status::continue_, 11};
    co_await http::async_write(stream_, proceed, kNoThrow);
  }
  stream_.expires_after(limits_.body_timeout);
  parser_.eager(true);
  while (!parser_.is_done()) {
    const std::optional<ReadOutcome> refused = reserve_growth();
    if (refused) co_return *refused;
    const auto [error, count] = co_await http::async_read_some(stream_, buffer_, parser_, kNoThrow);
    if (holder_.was_cut_off()) {
      const ReadOutcome cut_off{false, kUnavailable, kTooSlow};
      co_return cut_off;
    }
    if (error) co_return outcome_of(error);
    holder_.came(count);
    if (!parser_.is_done() && bounds_.limited()) holder_.hold();
  }
  const ReadOutcome whole{true, 0, {}};
  co_return whole;
}

asio::awaitable<void> RequestReader::refuse(ReadOutcome outcome) {
  holder_.reservation().release();
  http::response<http::string_body> response{static_cast<http::status>(outcome.status), 11};
  response.set(http::field::server, kServerName);
  response.set(http::field::content_type, "application/json");
  if (outcome.status == kUnavailable) response.set(http::field::retry_after, retry_after_text());
  response.keep_alive(false);
  response.body() = R"({"error":{"code":100,"message":")" + std::string(outcome.reason) +
                    R"(","execution":"not_run","step":"parse","peer":""}})";
  response.prepare_payload();
  stream_.expires_after(std::chrono::seconds(2));
  const auto [error, count] = co_await http::async_write(stream_, response, kNoThrow);
  if (!error) co_await drop_unread();
}

/// Closed while the caller is sending, the kernel would reset the connection, and the caller would
/// lose the answer that it has not read yet.
asio::awaitable<void> RequestReader::drop_unread() {
  boost::system::error_code shutdown_error;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, shutdown_error);
  if (shutdown_error) co_return;
  parser_.get().body() = {};
  std::string dropped(kDropStep, '\0');
  stream_.expires_after(kDropTime);
  for (std::size_t total = 0; total < kDropBytes;) {
    const auto [error, count] = co_await stream_.async_read_some(asio::buffer(dropped), kNoThrow);
    if (error) co_return;
    total += count;
  }
}

}  // namespace stoathold
