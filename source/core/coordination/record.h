#ifndef AMARANTHLANE_CORE_COORDINATION_RECORD_H_
#define AMARANTHLANE_CORE_COORDINATION_RECORD_H_

#include <cstddef>
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
  // The record's version in which this state was written.
  std::uint64_t changed_at = 0;

  bool operator==(const GroupState&) const = default;
};

// Members that were replaced. VMs may use primaries by their promises until enough of them are known to refuse.
struct FormerMembers {
  std::uint64_t epoch = 0;
  // The record's version that replaced them.
  std::uint64_t replaced_at = 0;
  std::vector<VmName> vms;

  bool operator==(const FormerMembers&) const = default;
};

// The one object of this kind in the store. Each update is conditional on the revision that it was derived from.
struct CoordinationRecord {
  // Rises by one with each update.
  std::uint64_t version = 0;
  // Rises whenever `members` changes. A promise is given for one epoch.
  std::uint64_t epoch = 0;
  // Rises whenever the first member changes; sent with each order to promote.
  std::uint64_t fencing_token = 0;
  // The version in which the first member took the duty over.
  std::uint64_t coordinator_since = 0;
  // The first one holds the duty to promote. The others succeed it in this order. Who uses a primary needs promises
  // from LeaseQuorum() of them.
  std::vector<Member> members;
  // Earlier members, oldest first, until a holder knows that their promises have ended.
  std::vector<FormerMembers> former;
  std::map<GroupName, GroupState> groups;
  // Unique to the update that wrote this version, so that a writer whose answer was lost recognises its own update.
  std::string update_id;

  bool operator==(const CoordinationRecord&) const = default;

  const Member* Holder() const;
  bool IsMember(const VmName& vm) const;
  // The VM's place among the members, from 0; the number of members if it is none.
  std::size_t Place(const VmName& vm) const;
  // The version that a VM must have adopted to count as having released a group that is changing: it knows of the
  // change, and of the holder that makes it.
  std::uint64_t ReleaseVersion(const GroupName& group) const;
};

nlohmann::json ToJson(const CoordinationRecord& record);
// Throws ParseError.
CoordinationRecord ParseCoordinationRecord(const nlohmann::json& document);

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_RECORD_H_
