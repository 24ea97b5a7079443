#include "net/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "common/error.h"

namespace amaranthlane::net {

namespace {

// An IPv6 address stands in brackets where a port follows.
std::string_view WithoutBrackets(std::string_view ip) {
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  return bracketed ? ip.substr(1, ip.size() - 2) : ip;
}

}  // namespace

Address ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw ParseError("address", std::string(text), "an IP address and a port from 1 to 65535, such as 127.0.0.1:7000");
  }
  Address address;
  address.ip = std::string(WithoutBrackets(text.substr(0, colon)));
  boost::system::error_code failure;
  boost::asio::ip::make_address(address.ip, failure);
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
  if (failure || error != std::errc() || end != digits.data() + digits.size() || address.port == 0) {
    throw ParseError("address", std::string(text), "an IP address and a port from 1 to 65535, such as 127.0.0.1:7000");
  }
  return address;
}

std::string ToString(const Address& address) {
  const bool is_ipv6 = address.ip.find(':') != std::string::npos;
  return (is_ipv6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

}  // namespace amaranthlane::net
