/// @file
/// Reads one request from a client within the server's limits. Include in implementation files
/// only.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast.hpp>
#include <optional>
#include <string_view>

#include "net/http.h"
#include "net/message_head.h"
#include "net/reclaimable_buffer.h"
#include "net/server_resource_limits.h"

namespace stoathold {

/// Result of reading a request or a part of it.
struct RequestReadResult {
  bool complete = false;
  int status = 0;           ///< Status of the error response; 0: none is sent.
  std::string_view reason;  ///< Error message for the body of the response.
};

/// A request body that is being received. It is aborted if it arrives too slowly while others need
/// its memory.
class RequestBodyBuffer final : public ReclaimableBuffer {
 public:
  RequestBodyBuffer(boost::beast::tcp_stream& stream, const ServerResourceLimits& resource_limits,
                    ReclaimableBufferRegistry& buffer_registry)
      : stream_(stream), resource_limits_(resource_limits), buffer_registry_(buffer_registry) {}
  ~RequestBodyBuffer() override { buffer_registry_.remove(*this); }
  RequestBodyBuffer(const RequestBodyBuffer&) = delete;
  RequestBodyBuffer& operator=(const RequestBodyBuffer&) = delete;

  /// Registers the body, which may be reclaimed from now on until `unregister`.
  void make_reclaimable();
  void unregister() { buffer_registry_.remove(*this); }
  /// Records that bytes of the body were received.
  void on_bytes_received(std::size_t bytes);
  [[nodiscard]] bool was_reclaimed() const { return reclaimed_; }
  [[nodiscard]] MemoryReservation& reservation() { return reservation_; }

  [[nodiscard]] std::uint64_t reserved_bytes() const override { return reservation_.bytes(); }
  [[nodiscard]] TimePoint last_progress() const override { return last_progress_; }
  void reclaim() override;

 private:
  boost::beast::tcp_stream& stream_;
  const ServerResourceLimits& resource_limits_;
  ReclaimableBufferRegistry& buffer_registry_;
  MemoryReservation reservation_;
  TimePoint registered_at_{};
  TimePoint last_progress_{};
  std::size_t bytes_since_progress_ = 0;
  bool registered_ = false;
  bool reclaimed_ = false;
};

/// Reads one request. Used on the connection's strand.
class RequestReader {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  /// All arguments must outlive the reader.
  /// @param buffer its maximum size limits what is kept of a part that has not arrived completely.
  RequestReader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                const HttpLimits& limits, const ServerResourceLimits& resource_limits,
                ReclaimableBufferRegistry& buffer_registry);

  /// Reads the head and reserves memory for both the parsed head and the body. @return `complete`
  /// if the body may be read.
  boost::asio::awaitable<RequestReadResult> read_head();
  /// Reads the rest of the request; rejects it if its memory cannot be reserved or is reclaimed.
  boost::asio::awaitable<RequestReadResult> read_body();
  /// Sends the response to a request that was not read completely, and makes sure that it can
  /// arrive although the client may still be sending. The connection cannot be used afterwards.
  boost::asio::awaitable<void> reject(RequestReadResult result);
  Request release() { return parser_.release(); }
  /// Memory of a request, to be kept as long as the request is.
  struct Reservations {
    MemoryReservation head;
    MemoryReservation body;
  };
  Reservations take_reservations() {
    body_buffer_.unregister();
    return {std::move(head_reservation_), std::move(body_buffer_.reservation())};
  }

 private:
  /// Reserves memory for what has been parsed of the head. @return the rejection if there is none.
  std::optional<RequestReadResult> reserve_head();
  /// Reserves memory for the trailers of a body that is complete; they become fields of the head.
  std::optional<RequestReadResult> reserve_trailers();
  /// Reserves memory for the body before it is read. @return the rejection if the body must not be
  /// read.
  std::optional<RequestReadResult> reserve_body();
  std::optional<RequestReadResult> reserve_growth();
  RequestReadResult reject_for_memory(MemoryAccount account, std::uint64_t bytes);
  /// Releases what was received of a request that is rejected, and its reservations.
  void release_request();
  boost::asio::awaitable<void> discard_unread();

  boost::beast::tcp_stream& stream_;
  boost::beast::flat_buffer& buffer_;
  const HttpLimits& limits_;
  const ServerResourceLimits& resource_limits_;
  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
  MessageHeadSize head_size_;
  MemoryReservation head_reservation_;
  RequestBodyBuffer body_buffer_;
};

}  // namespace stoathold
