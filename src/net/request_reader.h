/// @file
/// Reads one request of a caller within the server's bounds. Include in implementation files only.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast.hpp>
#include <optional>
#include <string_view>

#include "net/byte_holders.h"
#include "net/http.h"
#include "net/server_bounds.h"

namespace stoathold {

/// How the reading of a request ended.
struct ReadOutcome {
  bool whole = false;
  int status = 0;           ///< Of the answer to a request that could not be read; 0: none is due.
  std::string_view reason;  ///< For people, in the answer's body.
};

/// A body that is being read: ended if it comes too slowly while others need its room.
class BodyHolder final : public ByteHolder {
 public:
  BodyHolder(boost::beast::tcp_stream& stream, const ServerBounds& bounds, ByteHolders& holders)
      : stream_(stream), bounds_(bounds), holders_(holders) {}
  ~BodyHolder() override { holders_.remove(*this); }
  BodyHolder(const BodyHolder&) = delete;
  BodyHolder& operator=(const BodyHolder&) = delete;

  /// From now on the body may be cut off, until it is let go.
  void hold();
  void let_go() { holders_.remove(*this); }
  /// So many bytes of it have come.
  void came(std::size_t bytes);
  [[nodiscard]] bool was_cut_off() const { return cut_off_; }
  [[nodiscard]] MemoryReservation& reservation() { return reservation_; }

  [[nodiscard]] std::uint64_t held_bytes() const override { return reservation_.bytes(); }
  [[nodiscard]] TimePoint last_progress() const override { return last_progress_; }
  void cut_off() override;

 private:
  boost::beast::tcp_stream& stream_;
  const ServerBounds& bounds_;
  ByteHolders& holders_;
  MemoryReservation reservation_;
  TimePoint since_{};
  TimePoint last_progress_{};
  std::size_t bytes_since_progress_ = 0;
  bool held_ = false;
  bool cut_off_ = false;
};

/// Reads one request. Used on the connection's strand.
class RequestReader {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  /// All outlive the reader.
  RequestReader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                const HttpLimits& limits, const ServerBounds& bounds, ByteHolders& holders);

  /// Reads the head, and takes the room for the body. @return whole: the body may be read.
  boost::asio::awaitable<ReadOutcome> read_head();
  /// Reads the rest of the request, unless it must not be.
  boost::asio::awaitable<ReadOutcome> read_body();
  /// Answers a request that was not read whole, and lets the answer arrive though the caller may
  /// still be sending; the connection is of no more use then.
  boost::asio::awaitable<void> refuse(ReadOutcome outcome);
  Request release() { return parser_.release(); }
  /// The bytes of the body, to be held as long as it is.
  MemoryReservation take_reservation() {
    holder_.let_go();
    return std::move(holder_.reservation());
  }

 private:
  /// Takes the room for a body before it is read. @return why it must not be read, if so.
  std::optional<ReadOutcome> reserve_body();
  std::optional<ReadOutcome> reserve_growth();
  ReadOutcome refusal_for_room(std::uint64_t bytes);
  boost::asio::awaitable<void> drop_unread();

  boost::beast::tcp_stream& stream_;
  boost::beast::flat_buffer& buffer_;
  const HttpLimits& limits_;
  const ServerBounds& bounds_;
  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
  BodyHolder holder_;
};

}  // namespace stoathold
