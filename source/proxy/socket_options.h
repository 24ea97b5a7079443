#ifndef AMARANTHLANE_PROXY_SOCKET_OPTIONS_H_
#define AMARANTHLANE_PROXY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace amaranthlane::proxy {

// Sends small messages at once, and finds out within seconds that the other end is unreachable, also while nothing is
// sent.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_SOCKET_OPTIONS_H_
