#ifndef AMARANTHLANE_CORE_CONFIGURATION_DATABASE_GROUP_H_
#define AMARANTHLANE_CORE_CONFIGURATION_DATABASE_GROUP_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/types.h"

namespace amaranthlane::configuration {

enum class InstanceState : std::uint8_t { kLive, kLeaving };

// One instance of a database group.
struct DatabaseInstance {
  EndpointName endpoint;
  // ip:port
  std::string address;
  std::string data_centre;
  InstanceState state = InstanceState::kLive;

  bool operator==(const DatabaseInstance&) const = default;
};

// A `database_groups` object.
struct DatabaseGroup {
  GroupName group;
  std::string region;
  Term term = 0;
  // The endpoint that is primary in this term.
  EndpointName primary;
  std::vector<DatabaseInstance> instances;
  // Statements that each instance runs at once.
  std::uint64_t slots = 0;
  // Connections that each instance accepts.
  std::uint64_t connections = 0;
  // The id of the conditional update that wrote this value; empty in a value seeded by hand.
  std::string update_id;

  bool operator==(const DatabaseGroup&) const = default;
};

// Throws ParseError, also when the primary isn't one of the instances.
DatabaseGroup ParseDatabaseGroup(const nlohmann::json& value);
nlohmann::json ToJson(const DatabaseGroup& group);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DATABASE_GROUP_H_
