/// @file
/// Small helpers over Boost.Beast and Asio sockets. Include in implementation files only.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <string>
#include <vector>

#include "net/http.h"

namespace stoathold {

/// Copies all header fields in their order.
inline std::vector<HttpHeader> copy_headers(const boost::beast::http::fields& fields) {
  std::vector<HttpHeader> headers;
  for (const auto& field : fields) {
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

/// Looks at a socket without waiting: `would_block` if it is open and holds no unread bytes, no
/// error if there are some, else why it is closed.
inline boost::system::error_code peek_socket(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, error);
  return error;
}

}  // namespace stoathold
