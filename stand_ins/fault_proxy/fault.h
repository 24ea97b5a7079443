#ifndef AMARANTHLANE_STAND_INS_FAULT_PROXY_FAULT_H_
#define AMARANTHLANE_STAND_INS_FAULT_PROXY_FAULT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "stand_ins/common/problem.h"

namespace amaranthlane::stand_ins {

// The fault that a route injects into its connections.
enum class FaultMode : std::uint8_t {
  kPass,
  // Closes the open connections and refuses new ones.
  kCut,
  // Withholds all bytes and connection closes until another mode is set.
  kFreeze,
  // Discard the bytes of one direction. Once bytes are lost, the rest of the stream would be corrupt, so all further
  // bytes of that direction are discarded until the connection closes.
  kDropToTarget,
  kDropToClient,
  // Discards all bytes, in both directions, of the connections that are open when the mode is set, until they close.
  // New connections are forwarded.
  kSilentOpen,
  // Forwards the first bytes of a response, then closes the connection.
  kTruncateAnswer,
};

// The current fault of a route or of one client of the route.
struct Fault {
  FaultMode mode = FaultMode::kPass;
  // Delay of all bytes in each direction.
  std::chrono::milliseconds delay{0};
  // For kTruncateAnswer: the number of bytes forwarded of each response.
  std::uint64_t max_response_bytes = 0;
};

// The body of the control call that sets a fault.
struct FaultRequest {
  Fault fault;
  // Applies the fault only to connections from this IP address. Empty: applies it to all connections and removes the
  // faults set for single addresses.
  std::string client_ip;
};

// The current faults of a route.
struct RouteFaults {
  // The fault that applies to connections from `client_ip`.
  const Fault& FaultFor(const std::string& client_ip) const;

  Fault default_fault;
  std::map<std::string, Fault> by_client_ip;
};

// Drops the responses to the next `count` matching requests.
struct ResponsesToDrop {
  std::uint64_t count = 0;
  // Matches requests that contain this text within one chunk read from the client; empty: all requests.
  std::string match;
};

// The proxy has no route of the given name.
class UnknownRouteError : public ProblemError {
 public:
  explicit UnknownRouteError(const std::string& name);
};

std::string_view ModeName(FaultMode mode);
// The parse functions throw ParseError.
FaultRequest ParseFault(const nlohmann::json& value);
ResponsesToDrop ParseResponsesToDrop(const nlohmann::json& value);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_FAULT_PROXY_FAULT_H_
