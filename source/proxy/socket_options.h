#ifndef AMARANTHLANE_PROXY_SOCKET_OPTIONS_H_
#define AMARANTHLANE_PROXY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace amaranthlane::proxy {

// Disables Nagle's algorithm, and detects an unreachable peer within a few seconds, also while nothing is sent.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_SOCKET_OPTIONS_H_
