#include "core/replicas/group_record.h"

#include <algorithm>

#include "common/error.h"
#include "common/json.h"
#include "core/replicas/position_answer.h"

namespace amaranthlane::replicas {
namespace {

constexpr char kDocument[] = "database group";
constexpr char kLive[] = "live";
constexpr char kLeaving[] = "leaving";

Instance ParseInstance(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  const std::string state = reader.StringOr("state", kLive);
  if (state != kLive && state != kLeaving) throw ParseError(kDocument, "instances.state", "live or leaving");
  return Instance{.endpoint = reader.String("endpoint"),
                  .address = reader.String("address"),
                  .data_centre = reader.String("data_centre"),
                  .leaving = state == kLeaving};
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
  record.group = reader.String("group");
  record.region = reader.StringOr("region", "");
  record.term = reader.Unsigned("term");
  record.primary = reader.String("primary");
  record.slots = reader.Unsigned("slots");
  record.connections = reader.Unsigned("connections");
  record.update_id = reader.StringOr("update_id", "");
  for (const auto& instance : reader.Array("instances")) record.instances.push_back(ParseInstance(instance));
  if (reader.Has("history")) {
    for (const auto& base : reader.Array("history")) record.history.push_back(ParseTermBase(base));
  }
  if (record.Find(record.primary) == nullptr) throw ParseError(kDocument, "primary", "one of the instances");
  return record;
}

nlohmann::json ToJson(const GroupRecord& record) {
  nlohmann::json instances = nlohmann::json::array();
  for (const Instance& instance : record.instances) instances.push_back(InstanceToJson(instance));
  nlohmann::json history = nlohmann::json::array();
  for (const TermBase& base : record.history) history.push_back({{"term", base.term}, {"base", ToJson(base.base)}});
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
