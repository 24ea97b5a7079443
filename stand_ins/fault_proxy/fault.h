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

// What a route does to its connections.
enum class FaultMode : std::uint8_t {
  kPass,
  // Closes the open connections and refuses new ones.
  kCut,
  // Holds all bytes and closes until another mode is set.
  kFreeze,
  // Discards the bytes of one direction. A direction that lost bytes stays silent for as long as its connection lives,
  // since the rest of the stream would be garbage.
  kDropToTarget,
  kDropToClient,
  // Silences for good the connections that are open when it is set.
  kSilentOpen,
  // Lets the first bytes of each answer through and closes the connection.
  kTruncateAnswer,
};

// The fault in force on a route.
struct Fault {
  FaultMode mode = FaultMode::kPass;
  // The delay of all bytes, each way.
  std::chrono::milliseconds delay{0};
  // For kTruncateAnswer: how much of each answer goes through.
  std::uint64_t max_response_bytes = 0;
};

// A fault as the control call states it.
struct FaultRequest {
  Fault fault;
  // Only for connections from this IP number; empty: for all, in place of every fault that was limited to one.
  std::string client_ip;
};

// The faults in force on a route.
struct RouteFaults {
  // The fault of a connection from the IP number.
  const Fault& FaultFor(const std::string& client_ip) const;

  Fault default_fault;
  std::map<std::string, Fault> by_client_ip;
};

// Answers that are to be swallowed.
struct ResponsesToDrop {
  std::uint64_t count = 0;
  // Only requests that contain this text in the bytes that arrive first; empty: all.
  std::string match;
};

// A route name that the proxy doesn't have.
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
