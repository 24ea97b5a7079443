#ifndef AMARANTHLANE_TESTS_NET_FREE_PORT_H_
#define AMARANTHLANE_TESTS_NET_FREE_PORT_H_

#include <cstdint>
#include <string>

namespace amaranthlane::testing {

// Returns a loopback port that nothing listens on. Ports are taken from below the kernel's ephemeral port range, so
// that the port stays free until the program under test listens on it.
std::uint16_t FreePort();

// Formats a loopback port as `ip:port`.
std::string LoopbackAddress(std::uint16_t port);

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_NET_FREE_PORT_H_
