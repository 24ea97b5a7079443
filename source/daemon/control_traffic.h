#ifndef AMARANTHLANE_DAEMON_CONTROL_TRAFFIC_H_
#define AMARANTHLANE_DAEMON_CONTROL_TRAFFIC_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "metrics/registry.h"
#include "net/http_connection.h"
#include "net/http_message.h"

namespace amaranthlane::daemon {

// The kinds of control messages exchanged with the platform and with probed instances.
inline constexpr std::string_view kPlatformTraffic = "platform";
inline constexpr std::string_view kProbeTraffic = "probe";

// The kind of a call between VMs, such as `beat`; `unknown` if the target is none of theirs. Lives forever.
std::string_view PeerTrafficKind(std::string_view target);

// Counts the control messages that a VM sends and receives, and their bytes including HTTP headers. A request and its
// response count as two messages of the same kind. The traffic of callers and their statements is not counted.
class ControlTraffic {
 public:
  explicit ControlTraffic(metrics::Registry& registry);

  // Counts the request of a completed call if any of it was sent, and the response if one was received.
  void CountCall(std::string_view kind, const net::CallResult& result);
  // Counts a request that this VM received.
  void CountRequest(std::string_view kind, const net::HttpRequest& request);
  // Counts a response that this VM sends.
  void CountResponse(std::string_view kind, const net::HttpResponse& response);

 private:
  enum class Direction : std::uint8_t { kSent, kReceived };
  struct Counters {
    metrics::Counter& bytes;
    metrics::Counter& messages;
  };
  using CountersByKind = std::map<std::string, Counters, std::less<>>;

  void Count(Direction direction, std::string_view kind, std::size_t bytes);

  metrics::Registry& registry;
  CountersByKind sent;
  CountersByKind received;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_CONTROL_TRAFFIC_H_
