#ifndef AMARANTHLANE_CORE_REPLICAS_POSITION_REPLY_H_
#define AMARANTHLANE_CORE_REPLICAS_POSITION_REPLY_H_

#include <cstdint>
#include <nlohmann/json.hpp>

#include "core/types.h"

// The reply of a database instance to `GET /v1/position`.
namespace amaranthlane::replicas {

enum class Role : std::uint8_t { kUnconfigured, kPrimary, kReplica };

struct PositionReply {
  EndpointName endpoint;
  Role role = Role::kUnconfigured;
  // The term that the instance was configured with; 0 before its first configuration.
  Term term = 0;
  // The last entry of its log.
  LogPosition position;
  // The term under which the instance's log last matched the log of that term's primary.
  Term synced_term = 0;

  bool operator==(const PositionReply&) const = default;
};

// Throws ParseError.
PositionReply ParsePositionReply(const nlohmann::json& value);
// Reads `{"term","offset"}`; throws ParseError.
LogPosition ParseLogPosition(const nlohmann::json& value);
nlohmann::json ToJson(const LogPosition& position);

}  // namespace amaranthlane::replicas

#endif  // AMARANTHLANE_CORE_REPLICAS_POSITION_REPLY_H_
