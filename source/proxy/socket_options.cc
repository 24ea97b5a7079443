#include "proxy/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace amaranthlane::proxy {

namespace {

using KeepAliveIdleOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveIntervalOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCountOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeoutOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr int kKeepAliveIdleSeconds = 3;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUserTimeoutMilliseconds = 3000;

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket) {
  // Failures are ignored: the next use of a socket that is already closed fails anyway.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(KeepAliveIdleOption(kKeepAliveIdleSeconds), ignored);
  socket.set_option(KeepAliveIntervalOption(kKeepAliveIntervalSeconds), ignored);
  socket.set_option(KeepAliveCountOption(kKeepAliveProbes), ignored);
  socket.set_option(UserTimeoutOption(kUserTimeoutMilliseconds), ignored);
}

}  // namespace amaranthlane::proxy
