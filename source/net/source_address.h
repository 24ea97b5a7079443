#ifndef AMARANTHLANE_NET_SOURCE_ADDRESS_H_
#define AMARANTHLANE_NET_SOURCE_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace amaranthlane::net {

// Sets the IP address that this process's outgoing connections are bound to; if `ip` is empty, the system chooses the
// address. Must be called once, before the first connection is opened. Throws ParseError if `ip` is not an IP address.
void SetSourceAddress(const std::string& ip);

// If a source address was set, opens the socket and binds it to that address; otherwise does nothing. Errors are
// returned in `failure`.
void BindToSourceAddress(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp& protocol,
                         boost::system::error_code& failure);

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_SOURCE_ADDRESS_H_
