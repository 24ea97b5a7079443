#include "core/configuration/database_group.h"

#include <set>
#include <utility>

#include "common/error.h"
#include "common/ip_address.h"
#include "common/json.h"
#include "common/names.h"

namespace amaranthlane::configuration {

namespace {

constexpr const char* kDocument = "database group";
constexpr std::uint64_t kMaximumSlots = 10UL * 1000;

InstanceState ParseState(const std::string& name) {
  if (name == "live") {
    return InstanceState::kLive;
  }
  if (name == "leaving") {
    return InstanceState::kLeaving;
  }
  throw ParseError(kDocument, "state", "live or leaving");
}

DatabaseInstance ParseInstance(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  reader.RejectUnknown({"endpoint", "address", "data_centre", "state"});
  DatabaseInstance instance;
  instance.endpoint = RequireName(reader.String("endpoint"), kDocument, "endpoint");
  instance.address = reader.String("address");
  instance.data_centre = RequireName(reader.String("data_centre"), kDocument, "data_centre");
  instance.state = ParseState(reader.StringOr("state", "live"));
  if (!IsIpAndPort(instance.address)) {
    throw ParseError(kDocument, "address", "an address as ip:port");
  }
  return instance;
}

std::uint64_t ParseCount(const json::ObjectReader& reader, const char* key) {
  const std::uint64_t count = reader.Unsigned(key);
  if (count == 0 || count > kMaximumSlots) {
    throw ParseError(kDocument, key, "a whole number from 1 to 10000");
  }
  return count;
}

}  // namespace

DatabaseGroup ParseDatabaseGroup(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  reader.RejectUnknown({"group", "region", "term", "primary", "instances", "slots", "connections", "update_id"});
  DatabaseGroup group;
  group.group = RequireName(reader.String("group"), kDocument, "group");
  group.region = RequireName(reader.String("region"), kDocument, "region");
  group.term = reader.Unsigned("term");
  group.primary = reader.String("primary");
  group.slots = ParseCount(reader, "slots");
  group.connections = ParseCount(reader, "connections");
  group.update_id = reader.StringOr("update_id", "");
  std::set<EndpointName> endpoints;
  for (const nlohmann::json& element : reader.Array("instances")) {
    group.instances.push_back(ParseInstance(element));
    if (!endpoints.insert(group.instances.back().endpoint).second) {
      throw ParseError(kDocument, "instances", "each endpoint only once");
    }
  }
  if (!endpoints.contains(group.primary)) {
    throw ParseError(kDocument, "primary", "the endpoint of one of the instances");
  }
  return group;
}

nlohmann::json ToJson(const DatabaseGroup& group) {
  nlohmann::json instances = nlohmann::json::array();
  for (const DatabaseInstance& instance : group.instances) {
    instances.push_back({{"endpoint", instance.endpoint},
                         {"address", instance.address},
                         {"data_centre", instance.data_centre},
                         {"state", instance.state == InstanceState::kLive ? "live" : "leaving"}});
  }
  nlohmann::json value = {{"group", group.group},
                          {"region", group.region},
                          {"term", group.term},
                          {"primary", group.primary},
                          {"slots", group.slots},
                          {"connections", group.connections},
                          {"instances", std::move(instances)}};
  if (!group.update_id.empty()) {
    value["update_id"] = group.update_id;
  }
  return value;
}

}  // namespace amaranthlane::configuration
