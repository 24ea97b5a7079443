#include "core/coordination/record.h"

#include <algorithm>

#include "common/json.h"

namespace amaranthlane::coordination {

namespace {

constexpr char kDocument[] = "coordination record";

Member ParseMember(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kDocument);
  return {reader.String("vm"), reader.Address("address")};
}

GroupState ParseGroupState(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kDocument);
  return {reader.Unsigned("term"), reader.String("primary"), reader.Bool("changing"), reader.Unsigned("changed_at"),
          reader.BoolOr("unconfirmed", false)};
}

FormerMembers ParseFormerMembers(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kDocument);
  return {reader.Unsigned("epoch"), reader.Unsigned("replaced_at"), reader.Strings("vms")};
}

LogHolder ParseLogHolder(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kDocument);
  return {reader.String("endpoint"), reader.Unsigned("incarnation"), reader.Address("address"),
          reader.Bool("draining")};
}

// Earlier builds wrote none.
LogHoldersByGroup ParseLogs(const json::ObjectReader& record) {
  LogHoldersByGroup logs;
  if (!record.Has("logs")) {
    return logs;
  }
  const json::ObjectReader groups(record.Object("logs"), kDocument);
  for (const auto& [group, unused] : record.Object("logs").items()) {
    for (const nlohmann::json& holder : groups.Array(group.c_str())) {
      logs[group].push_back(ParseLogHolder(holder));
    }
  }
  return logs;
}

nlohmann::json ToJson(const LogHoldersByGroup& logs) {
  nlohmann::json groups = nlohmann::json::object();
  for (const auto& [group, holders] : logs) {
    groups[group] = nlohmann::json::array();
    for (const LogHolder& holder : holders) {
      groups[group].push_back({{"endpoint", holder.endpoint},
                               {"incarnation", holder.incarnation},
                               {"address", holder.address},
                               {"draining", holder.draining}});
    }
  }
  return groups;
}

}  // namespace

const Member* CoordinationRecord::Coordinator() const {
  return this->members.empty() ? nullptr : &this->members.front();
}

std::size_t CoordinationRecord::MemberIndex(const VmName& vm) const {
  const auto found =
      std::find_if(this->members.begin(), this->members.end(), [&vm](const Member& member) { return member.vm == vm; });
  return static_cast<std::size_t>(found - this->members.begin());
}

bool CoordinationRecord::IsMember(const VmName& vm) const { return this->MemberIndex(vm) < this->members.size(); }

std::uint64_t CoordinationRecord::ReleaseVersion(const GroupName& group) const {
  const auto found = this->groups.find(group);
  return std::max(found == this->groups.end() ? 0 : found->second.changed_at, this->coordinator_since);
}

nlohmann::json ToJson(const CoordinationRecord& record) {
  nlohmann::json members = nlohmann::json::array();
  for (const Member& member : record.members) {
    members.push_back({{"vm", member.vm}, {"address", member.address}});
  }
  nlohmann::json groups = nlohmann::json::object();
  for (const auto& [name, group] : record.groups) {
    groups[name] = {{"term", group.term},
                    {"primary", group.primary},
                    {"changing", group.changing},
                    {"changed_at", group.changed_at},
                    {"unconfirmed", group.unconfirmed}};
  }
  nlohmann::json former = nlohmann::json::array();
  for (const FormerMembers& set : record.former) {
    former.push_back({{"epoch", set.epoch}, {"replaced_at", set.replaced_at}, {"vms", set.vms}});
  }
  return {{"store_era", record.store_era},
          {"version", record.version},
          {"epoch", record.epoch},
          {"fencing_token", record.fencing_token},
          {"members", members},
          {"former", former},
          {"groups", groups},
          {"logs", ToJson(record.logs)},
          {"restored_to_beginning", record.restored_to_beginning},
          {"restore_outlived", record.restore_outlived},
          {"update_id", record.update_id},
          {"duty_since", record.coordinator_since}};
}

CoordinationRecord ParseCoordinationRecord(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kDocument);
  CoordinationRecord record;
  // Earlier builds wrote no era.
  record.store_era = reader.UnsignedOr("store_era", 0);
  record.version = reader.Unsigned("version");
  record.epoch = reader.Unsigned("epoch");
  record.fencing_token = reader.Unsigned("fencing_token");
  for (const nlohmann::json& member : reader.Array("members")) {
    record.members.push_back(ParseMember(member));
  }
  for (const auto& [name, group] : reader.Object("groups").items()) {
    record.groups.emplace(name, ParseGroupState(group));
  }
  for (const nlohmann::json& set : reader.Array("former")) {
    record.former.push_back(ParseFormerMembers(set));
  }
  record.logs = ParseLogs(reader);
  // Earlier builds wrote none.
  record.restored_to_beginning = reader.BoolOr("restored_to_beginning", false);
  record.restore_outlived = reader.BoolOr("restore_outlived", false);
  record.coordinator_since = reader.Unsigned("duty_since");
  record.update_id = reader.String("update_id");
  return record;
}

}  // namespace amaranthlane::coordination
