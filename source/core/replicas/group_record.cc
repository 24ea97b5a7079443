#include "core/replicas/group_record.h"

#include <algorithm>
#include <set>

#include "common/error.h"
#include "common/ip_address.h"
#include "common/json.h"
#include "common/names.h"
#include "core/replicas/position_reply.h"

namespace amaranthlane::replicas {
namespace {

constexpr char kDocument[] = "database group";
// The maximum of `slots` and of `connections`.
constexpr std::uint64_t kMaxCount = 10000;
constexpr char kLive[] = "live";
constexpr char kLeaving[] = "leaving";

Instance ParseInstance(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  const std::string state = reader.StringOr("state", kLive);
  if (state != kLive && state != kLeaving) {
    throw ParseError(kDocument, "instances.state", "live or leaving");
  }
  Instance instance;
  instance.endpoint = RequireName(reader.String("endpoint"), kDocument, "instances.endpoint");
  instance.address = reader.String("address");
  instance.data_centre = RequireName(reader.String("data_centre"), kDocument, "instances.data_centre");
  instance.leaving = state == kLeaving;
  if (!IsIpAndPort(instance.address)) {
    throw ParseError(kDocument, "instances.address", "an address as ip:port");
  }
  return instance;
}

std::vector<Instance> ParseInstances(const nlohmann::json& value) {
  std::vector<Instance> instances;
  std::set<EndpointName> names;
  for (const nlohmann::json& element : value) {
    instances.push_back(ParseInstance(element));
    if (!names.insert(instances.back().endpoint).second) {
      throw ParseError(kDocument, "instances", "each endpoint only once");
    }
  }
  return instances;
}

std::uint64_t ParseCount(const json::ObjectReader& reader, const char* key) {
  const std::uint64_t count = reader.Unsigned(key);
  if (count == 0 || count > kMaxCount) {
    throw ParseError(kDocument, key, "a whole number from 1 to 10000");
  }
  return count;
}

TermBase ParseTermBase(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  return TermBase{.term = reader.Unsigned("term"), .base = ParseLogPosition(reader.Member("base"))};
}

nlohmann::json InstanceToJson(const Instance& instance) {
  return {{"endpoint", instance.endpoint},
          {"address", instance.address},
          {"data_centre", instance.data_centre},
          {"state", instance.leaving ? kLeaving : kLive}};
}

}  // namespace

const Instance* GroupRecord::Find(const EndpointName& endpoint) const {
  const auto found = std::ranges::find(this->instances, endpoint, &Instance::endpoint);
  return found == this->instances.end() ? nullptr : &*found;
}

GroupRecord ParseGroupRecord(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  GroupRecord record;
  record.group = RequireName(reader.String("group"), kDocument, "group");
  record.region = RequireName(reader.String("region"), kDocument, "region");
  record.term = reader.Unsigned("term");
  record.primary = reader.String("primary");
  record.slots = ParseCount(reader, "slots");
  record.connections = ParseCount(reader, "connections");
  record.update_id = reader.StringOr("update_id", "");
  record.instances = ParseInstances(reader.Array("instances"));
  if (reader.Has("history")) {
    for (const nlohmann::json& base : reader.Array("history")) {
      record.history.push_back(ParseTermBase(base));
    }
  }
  if (record.Find(record.primary) == nullptr) {
    throw ParseError(kDocument, "primary", "one of the instances");
  }
  return record;
}

nlohmann::json ToJson(const GroupRecord& record) {
  nlohmann::json instances = nlohmann::json::array();
  for (const Instance& instance : record.instances) {
    instances.push_back(InstanceToJson(instance));
  }
  nlohmann::json history = nlohmann::json::array();
  for (const TermBase& base : record.history) {
    history.push_back({{"term", base.term}, {"base", ToJson(base.base)}});
  }
  return {{"group", record.group},
          {"region", record.region},
          {"term", record.term},
          {"primary", record.primary},
          {"instances", instances},
          {"slots", record.slots},
          {"connections", record.connections},
          {"update_id", record.update_id},
          {"history", history}};
}

}  // namespace amaranthlane::replicas
