#include "daemon/control_traffic.h"

#include <algorithm>
#include <array>

namespace amaranthlane::daemon {

namespace {

constexpr std::string_view kPeerPrefix = "/v1/peer/";
constexpr std::array<std::string_view, 5> kPeerKinds = {"beat", "promise", "close", "objects", "promote"};
constexpr std::string_view kUnknownKind = "unknown";

}  // namespace

std::string_view PeerTrafficKind(std::string_view target) {
  std::string_view path = net::TargetPath(target);
  if (!path.starts_with(kPeerPrefix)) {
    return kUnknownKind;
  }
  path.remove_prefix(kPeerPrefix.size());
  const auto* const kind = std::find(kPeerKinds.begin(), kPeerKinds.end(), path);
  return kind == kPeerKinds.end() ? kUnknownKind : *kind;
}

ControlTraffic::ControlTraffic(metrics::Registry& registry) : registry(registry) {}

void ControlTraffic::CountCall(std::string_view kind, const net::CallResult& result) {
  if (result.sent_bytes > 0) {
    this->Count(Direction::kSent, kind, result.sent_bytes);
  }
  if (result.status == net::CallStatus::kAnswered) {
    this->Count(Direction::kReceived, kind, result.received_bytes);
  }
}

void ControlTraffic::CountRequest(std::string_view kind, const net::HttpRequest& request) {
  this->Count(Direction::kReceived, kind, net::WireSize(request));
}

void ControlTraffic::CountResponse(std::string_view kind, const net::HttpResponse& response) {
  this->Count(Direction::kSent, kind, net::WireSize(response));
}

void ControlTraffic::Count(Direction direction, std::string_view kind, std::size_t bytes) {
  const bool sent = direction == Direction::kSent;
  CountersByKind& counters = sent ? this->sent : this->received;
  auto found = counters.find(kind);
  if (found == counters.end()) {
    const metrics::Labels labels{{"direction", sent ? "sent" : "received"}, {"kind", std::string(kind)}};
    found = counters
                .emplace(kind, Counters{this->registry.GetCounter("amaranthlane_control_bytes_total",
                                                                  "Bytes of control messages, including HTTP headers.",
                                                                  labels),
                                        this->registry.GetCounter("amaranthlane_control_messages_total",
                                                                  "Control messages: requests and responses.", labels)})
                .first;
  }
  found->second.bytes.value += bytes;
  ++found->second.messages.value;
}

}  // namespace amaranthlane::daemon
