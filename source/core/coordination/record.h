#ifndef AMARANTHLANE_CORE_COORDINATION_RECORD_H_
#define AMARANTHLANE_CORE_COORDINATION_RECORD_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/types.h"

// What all VMs agree on through the platform's store: who orders promotions, who promises, and each group's primary.
namespace amaranthlane::coordination {

// A VM that takes part in promises.
struct Member {
  VmName vm;
  // Where its peers' interface listens, as ip:port.
  std::string address;

  bool operator==(const Member&) const = default;
};

// The primary of one database group.
struct GroupState {
  Term term = 0;
  EndpointName primary;
  // True from the moment that a change of primary is decided until the new one leads. Nobody may use a primary then.
  bool changing = false;

  bool operator==(const GroupState&) const = default;
};

// The one object of this kind in the store. Each update is conditional on the revision that it was derived from.
struct CoordinationRecord {
  // Rises by one with each update.
  std::uint64_t version = 0;
  // Rises whenever `members` changes. A promise is given for one epoch.
  std::uint64_t epoch = 0;
  // Rises whenever the first member changes; sent with each order to promote.
  std::uint64_t fencing_token = 0;
  // The first one holds the duty to promote. The others succeed it in this order. Who uses a primary needs a promise
  // from every one of them.
  std::vector<Member> members;
  std::map<GroupName, GroupState> groups;
  // Unique to the update that wrote this version, so that a writer whose answer was lost recognises its own update.
  std::string update_id;

  bool operator==(const CoordinationRecord&) const = default;

  const Member* Holder() const;
  bool IsMember(const VmName& vm) const;
};

nlohmann::json ToJson(const CoordinationRecord& record);
// Throws ParseError.
CoordinationRecord ParseCoordinationRecord(const nlohmann::json& document);

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_RECORD_H_
