#ifndef AMARANTHLANE_NET_ADDRESS_H_
#define AMARANTHLANE_NET_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthlane::net {

// An IP address and a TCP port. Host names are not resolved.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const Address&) const = default;
};

// Parses `ip:port`, with a port from 1 to 65535; an IPv6 address may stand in brackets. Throws ParseError.
Address ParseAddress(std::string_view text);

std::string ToString(const Address& address);

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_ADDRESS_H_
