#ifndef AMARANTHLANE_DAEMON_HEARTBEAT_MESSAGE_H_
#define AMARANTHLANE_DAEMON_HEARTBEAT_MESSAGE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/configuration/digest.h"
#include "core/leadership/record.h"
#include "core/membership/heartbeat.h"

namespace amaranthlane::daemon {

// A group that the sender of a heartbeat leads.
struct LedGroup {
  GroupName group;
  leadership::Ballot ballot;
};

// The heartbeat between VMs, as request and as reply.
struct HeartbeatMessage {
  membership::Heartbeat heartbeat;
  configuration::DigestSummary summary;
  // Present if the receiver may hold other objects than the sender.
  std::optional<configuration::ConfigurationDigest> configuration;
  std::vector<LedGroup> led_groups;
};

std::string FormatHeartbeatMessage(const HeartbeatMessage& message);
// Throws ParseError.
HeartbeatMessage ParseHeartbeatMessage(std::string_view text);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_HEARTBEAT_MESSAGE_H_
