#ifndef AMARANTHLANE_COMMON_IP_ADDRESS_H_
#define AMARANTHLANE_COMMON_IP_ADDRESS_H_

#include <string_view>

namespace amaranthlane {

// True for an IPv4 or IPv6 address.
bool IsIpAddress(std::string_view text);

// True for "ip:port" with an IPv4 address, or an IPv6 address in brackets, and a port from 1 to 65535.
bool IsIpAndPort(std::string_view text);

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_IP_ADDRESS_H_
