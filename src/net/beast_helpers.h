/// @file
/// Helper functions for Boost.Beast and Asio sockets. Include in implementation files only.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/fields.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/http.h"

namespace stoathold {

/// Returns all header fields in their order.
inline std::vector<HttpHeader> copy_headers(const boost::beast::http::fields& fields) {
  std::vector<HttpHeader> headers;
  for (const auto& field : fields) {
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

/// Adds headers to a message.
/// @return false if one exceeds the limit of the library, 64 kB, for which it throws.
inline bool insert_headers(boost::beast::http::fields& fields,
                           const std::vector<HttpHeader>& headers) {
  try {
    for (const auto& header : headers) fields.insert(header.name, header.value);
  } catch (const std::length_error&) {
    return false;
  }
  return true;
}

/// Returns the executor for one connection: a strand of its own, or `executor` itself if a single
/// thread runs the event loop.
inline boost::asio::any_io_executor connection_executor(
    const boost::asio::any_io_executor& executor, LoopThreads threads) {
  if (threads == LoopThreads::kOne) return executor;
  return boost::asio::make_strand(executor);
}

/// Writes as much as a non-blocking socket accepts without waiting.
/// @param error set to the error of the write; a full send buffer is not an error.
/// @return the number of bytes written.
template <typename Buffers>
std::size_t write_at_once(boost::asio::ip::tcp::socket& socket, const Buffers& buffers,
                          boost::system::error_code& error) {
  const std::size_t written = socket.write_some(buffers, error);
  if (error != boost::asio::error::would_block) return written;
  error = {};
  return 0;
}

/// Returns the state of a socket without waiting: `would_block` if it is open without unread bytes,
/// no error if there are unread bytes, otherwise the error that closed it. Makes the socket
/// non-blocking.
inline boost::system::error_code peek_socket(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, error);
  return error;
}

/// Returns whether an error means that the peer closed or reset the connection, as opposed to
/// sending a malformed response.
inline bool is_closed_by_peer(const boost::system::error_code& error) {
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  return error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::broken_pipe || error == http::error::end_of_stream ||
         error == http::error::partial_message;
}

}  // namespace stoathold
