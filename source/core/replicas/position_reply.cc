#include "core/replicas/position_reply.h"

#include <string>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::replicas {
namespace {

constexpr char kDocument[] = "position answer";

// An instance that was never configured may leave the role out.
Role ParseRole(const std::string& name) {
  if (name == "primary") return Role::kPrimary;
  if (name == "replica") return Role::kReplica;
  if (name.empty() || name == "unconfigured") return Role::kUnconfigured;
  throw ParseError(kDocument, "role", "primary or replica");
}

}  // namespace

PositionReply ParsePositionReply(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  return PositionReply{.endpoint = reader.String("endpoint"),
                       .role = ParseRole(reader.StringOr("role", "")),
                       .term = reader.Unsigned("term"),
                       .position = ParseLogPosition(reader.Member("position")),
                       .synced_term = reader.UnsignedOr("synced_term", 0)};
}

LogPosition ParseLogPosition(const nlohmann::json& value) {
  const json::ObjectReader reader(value, "log position");
  return LogPosition{.term = reader.Unsigned("term"), .offset = reader.Unsigned("offset")};
}

nlohmann::json ToJson(const LogPosition& position) { return {{"term", position.term}, {"offset", position.offset}}; }

}  // namespace amaranthlane::replicas
