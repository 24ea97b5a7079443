#ifndef AMARANTHLANE_TESTS_NET_FREE_PORT_H_
#define AMARANTHLANE_TESTS_NET_FREE_PORT_H_

#include <cstdint>
#include <string>

namespace amaranthlane::testing {

// A port of the loopback interface that nothing listens on. Ports are taken from below the range that the kernel gives
// to outgoing connections, so that one stays free until the program under test listens on it.
std::uint16_t FreePort();

// The `ip:port` of a loopback port.
std::string LoopbackAddress(std::uint16_t port);

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_NET_FREE_PORT_H_
