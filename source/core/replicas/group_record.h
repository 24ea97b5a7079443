#ifndef AMARANTHLANE_CORE_REPLICAS_GROUP_RECORD_H_
#define AMARANTHLANE_CORE_REPLICAS_GROUP_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/types.h"

// The platform's `database_groups` object, in typed form.
namespace amaranthlane::replicas {

// One database instance of a group.
struct Instance {
  EndpointName endpoint;
  // ip:port
  std::string address;
  std::string data_centre;
  // A leaving instance gets no new work and becomes primary only if no other instance can.
  bool leaving = false;

  bool operator==(const Instance&) const = default;
};

// The start of a term's log: `base` is the last entry of older terms in it.
struct TermBase {
  Term term = 0;
  LogPosition base;

  bool operator==(const TermBase&) const = default;
};

// The number of latest terms of which a group's record keeps the base.
inline constexpr std::size_t kTermHistoryLimit = 16;

// The value of a `database_groups` object.
struct GroupRecord {
  GroupName group;
  std::string region;
  Term term = 0;
  EndpointName primary;
  std::vector<Instance> instances;
  // How many statements an instance runs concurrently.
  std::uint64_t slots = 0;
  // How many connections an instance accepts.
  std::uint64_t connections = 0;
  // Identifies the conditional update that wrote this value.
  std::string update_id;
  // Optional member `history`, oldest term first. Each base is the position observed before the term began, so the true
  // base is at least that.
  std::vector<TermBase> history;

  // Null when the group has no such instance.
  const Instance* Find(const EndpointName& endpoint) const;

  bool operator==(const GroupRecord&) const = default;
};

// Throws ParseError. Unknown members are ignored.
GroupRecord ParseGroupRecord(const nlohmann::json& value);
nlohmann::json ToJson(const GroupRecord& record);

}  // namespace amaranthlane::replicas

#endif  // AMARANTHLANE_CORE_REPLICAS_GROUP_RECORD_H_
