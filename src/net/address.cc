#include <charconv>

#include "net/http.h"

namespace stoathold {

bool split_address(const std::string& address, std::string& host, std::uint16_t& port) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto result = std::from_chars(begin, end, port);
  if (result.ec != std::errc{} || result.ptr != end) return false;
  host = address.substr(0, colon);
  return true;
}

bool parse_endpoint(const std::string& address, boost::asio::ip::tcp::endpoint& endpoint) {
  std::string host;
  std::uint16_t port = 0;
  if (!split_address(address, host, port)) return false;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(host, error);
  endpoint = boost::asio::ip::tcp::endpoint(ip, port);
  return !error;
}

}  // namespace stoathold
