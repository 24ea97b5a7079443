#include "net/source_address.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <optional>

#include "common/error.h"

namespace amaranthlane::net {

namespace {

std::optional<boost::asio::ip::address> source_address;

}  // namespace

void SetSourceAddress(const std::string& ip) {
  if (ip.empty()) {
    source_address.reset();
    return;
  }
  boost::system::error_code failure;
  source_address = boost::asio::ip::make_address(ip, failure);
  if (failure) {
    throw ParseError("source address", ip, "an IP address");
  }
}

void BindToSourceAddress(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp& protocol,
                         boost::system::error_code& failure) {
  if (!source_address) {
    return;
  }
  socket.open(protocol, failure);
  if (failure) {
    return;
  }
  // Without this option the kernel reserves a local port at bind, before the destination is known, so connections to
  // different destinations can't share a port and the ports run out.
  const int enabled = 1;
  setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled));
  socket.bind(boost::asio::ip::tcp::endpoint(*source_address, 0), failure);
}

}  // namespace amaranthlane::net
