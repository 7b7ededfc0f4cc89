/// @file
/// Reads the head of an HTTP response. Include in implementation files only.
#pragma once

#include "net/message_head.h"

namespace stoathold {

/// Maximum number of interim responses (1xx) before a final one.
inline constexpr int kMaxInterimResponses = 16;

/// Reads one head, final or interim. A line that begins with a blank is refused: it may be a field
/// whose name holds a blank, which must not become a part of the field before.
template <typename Stream, typename Parser>
boost::asio::awaitable<boost::system::error_code> read_one_response_head(
    Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, std::size_t max_bytes) {
  namespace http = boost::beast::http;
  MessageHeadSize size;
  boost::system::error_code error = http::error::need_more;
  while (error) {
    error = parse_head(parser, buffer, max_bytes, size);
    if (!error) break;
    if (error != http::error::need_more) co_return error;
    const boost::system::error_code receive_error =
        co_await receive_head_bytes(stream, buffer, parser);
    if (receive_error) co_return receive_error;
  }
  if (size.has_folded_line) co_return http::error::bad_obs_fold;
  co_return error;
}

/// Reads the head of a final response and skips interim ones. A status that is none of the protocol
/// is refused; below 100 it would look like an interim one, and the body like the next response.
/// @param start_parser returns a reference to a new parser for each head.
/// @param buffer must have room for more than `max_bytes`.
template <typename Stream, typename StartParser>
boost::asio::awaitable<boost::system::error_code> read_response_head(
    Stream& stream, boost::beast::flat_buffer& buffer, StartParser start_parser,
    std::size_t max_bytes) {
  namespace http = boost::beast::http;
  constexpr unsigned kFirstInterim = 100;
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kEndOfStatuses = 600;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    auto& parser = start_parser();
    const boost::system::error_code error =
        co_await read_one_response_head(stream, buffer, parser, max_bytes);
    if (error) co_return error;
    const unsigned status = parser.get().result_int();
    if (status < kFirstInterim || status >= kEndOfStatuses) co_return http::error::bad_status;
    if (status >= kFirstFinal) co_return error;
  }
  co_return http::error::bad_status;
}

}  // namespace stoathold
