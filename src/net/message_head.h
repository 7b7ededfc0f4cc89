/// @file
/// Reads the head of an HTTP message within a limit, for requests and responses alike. Include in
/// implementation files only.
#pragma once

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>

namespace stoathold {

/// What was parsed of a head.
struct MessageHeadSize {
  std::size_t bytes = 0;
  std::size_t lines = 0;
  bool has_folded_line = false;  ///< A line begins with a blank, so it continues the one before.
};

/// Adds bytes of a head that the parser has consumed: complete lines with all their continuations.
inline void add_parsed_bytes(std::string_view parsed, MessageHeadSize& size) {
  size.bytes += parsed.size();
  for (std::size_t end = parsed.find('\n'); end != std::string_view::npos;
       end = parsed.find('\n', end + 1)) {
    ++size.lines;
    const char next = end + 1 < parsed.size() ? parsed[end + 1] : '\0';
    if (next == ' ' || next == '\t') size.has_folded_line = true;
  }
}

/// Parses what has been received of a head. The parser compares its limit only with the bytes that
/// it has not consumed, so the sum is limited here.
/// @return `need_more` if the head is incomplete, `header_limit` if it is larger than `max_bytes`.
template <bool is_request>
boost::system::error_code parse_head(boost::beast::http::basic_parser<is_request>& parser,
                                     boost::beast::flat_buffer& buffer, std::size_t max_bytes,
                                     MessageHeadSize& size) {
  namespace http = boost::beast::http;
  boost::system::error_code error = http::error::need_more;
  while (error == http::error::need_more && buffer.size() > 0) {
    const auto received = buffer.data();
    const std::size_t used = parser.put(received, error);
    add_parsed_bytes({static_cast<const char*>(received.data()), used}, size);
    buffer.consume(used);
    if (used == 0) break;
  }
  if (error && error != http::error::need_more) return error;
  const std::size_t unparsed_bytes = error ? buffer.size() : 0;
  if (size.bytes + unparsed_bytes > max_bytes) return http::error::header_limit;
  return error;
}

/// Receives more bytes of a head.
/// @return the error, `end_of_stream` if the peer closed the connection before the first byte.
template <typename Stream, bool is_request>
boost::asio::awaitable<boost::system::error_code> receive_head_bytes(
    Stream& stream, boost::beast::flat_buffer& buffer,
    const boost::beast::http::basic_parser<is_request>& parser) {
  namespace http = boost::beast::http;
  constexpr std::size_t kReadBytes = 16UL * 1024;
  const std::size_t space = buffer.max_size() - buffer.size();
  if (space == 0) co_return http::error::buffer_overflow;
  const auto target = buffer.prepare(std::min(space, kReadBytes));
  const auto [error, count] =
      co_await stream.async_read_some(target, boost::asio::as_tuple(boost::asio::use_awaitable));
  buffer.commit(count);
  if (error != boost::asio::error::eof) co_return error;
  const bool has_started = parser.got_some() || buffer.size() > 0;
  co_return has_started ? http::error::partial_message : http::error::end_of_stream;
}

}  // namespace stoathold
