#ifndef AMARANTHLANE_NET_SOURCE_ADDRESS_H_
#define AMARANTHLANE_NET_SOURCE_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace amaranthlane::net {

// Sets the IP number that this process's connections come from; an empty text leaves the choice to the system. To be
// called once, before the first connection. Throws ParseError when `ip` is no IP number.
void SetSourceAddress(const std::string& ip);

// Opens the socket and binds it to the process's source address, if one was set.
void BindToSourceAddress(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp& protocol,
                         boost::system::error_code& failure);

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_SOURCE_ADDRESS_H_
