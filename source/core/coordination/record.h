#ifndef AMARANTHLANE_CORE_COORDINATION_RECORD_H_
#define AMARANTHLANE_CORE_COORDINATION_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/types.h"

// What all VMs agree on through the platform's store: the coordinator, the members that give grants, and the primary of
// each group.
namespace amaranthlane::coordination {

// A VM that gives grants to the others.
struct Member {
  VmName vm;
  // The address on which its interface for peers listens, as ip:port.
  std::string address;

  bool operator==(const Member&) const = default;
};

// The primary of one database group.
struct GroupState {
  Term term = 0;
  EndpointName primary;
  // True from the decision to change the primary until the change has ended. No VM may use a primary of the group
  // meanwhile.
  bool changing = false;
  // The version of the record in which this state was written.
  std::uint64_t changed_at = 0;
  // The state comes from an earlier era of the store, which may have lost a later change. `changing` is true as well.
  bool unconfirmed = false;

  bool operator==(const GroupState&) const = default;
};

// Members that were replaced. Leases based on their grants may be valid for one grant duration after enough of them are
// known to have adopted the record that replaced them, and so to refuse further grants.
struct FormerMembers {
  std::uint64_t epoch = 0;
  // The version of the record that replaced them.
  std::uint64_t replaced_at = 0;
  std::vector<VmName> vms;

  bool operator==(const FormerMembers&) const = default;
};

// An endpoint whose log may hold acknowledged commits of a group in which commits wait for replicas.
struct LogHolder {
  EndpointName endpoint;
  // An endpoint that has started again under its name has another log.
  Incarnation incarnation = 0;
  // ip:port.
  std::string address;
  // It was seen draining: when it ends, its log is transferred to another endpoint at its address.
  bool draining = false;

  bool operator==(const LogHolder&) const = default;
};
using LogHoldersByGroup = std::map<GroupName, std::vector<LogHolder>>;

// The versions, epochs and fencing tokens of the records that are written in an era of the store are above this number.
// They are above all those of earlier eras, and so unique, though a restore may have lost the newest record.
constexpr std::uint64_t FirstNumberOfEra(StoreEra era) {
  constexpr unsigned kUpdateBits = 32;
  return era <= kFirstStoreEra ? 0 : (era - kFirstStoreEra) << kUpdateBits;
}

// The epoch of the first record of a deployment, which names only the VM that wrote it.
constexpr std::uint64_t kFirstEpoch = 1;

// The state that is shared through the store, as one object for each era of the store. Each update is conditional on
// the revision that it was derived from.
struct CoordinationRecord {
  // The era of the store in which this version was written.
  StoreEra store_era = 0;
  // Rises by one with each update of the same era.
  std::uint64_t version = 0;
  // Rises whenever `members` changes. A grant is valid for one epoch.
  std::uint64_t epoch = 0;
  // Rises with each change of coordinator; sent with each promotion order.
  std::uint64_t fencing_token = 0;
  // The version in which the first member took over as coordinator.
  std::uint64_t coordinator_since = 0;
  // The first one is the coordinator, which orders promotions. The others succeed it in this order. A VM that uses
  // primaries needs grants from LeaseQuorum() of them.
  std::vector<Member> members;
  // Earlier sets of members, oldest first, until a coordinator knows that their grants have expired.
  std::vector<FormerMembers> former;
  std::map<GroupName, GroupState> groups;
  // The logs that may hold acknowledged commits, those of endpoints that have left included. Only for groups in which
  // commits wait for replicas.
  LogHoldersByGroup logs;
  // True once no VM can use or change a primary any more by a record that the restore which began this era has lost.
  bool restore_outlived = false;
  // The copy from which the store was restored when this era began was made in the first moments of the deployment. It
  // tells nothing of the VMs that may use primaries by a lost record.
  bool restored_to_beginning = false;
  // Unique to the update that wrote this version, so that a writer that got no answer recognises its own update.
  std::string update_id;

  bool operator==(const CoordinationRecord&) const = default;

  const Member* Coordinator() const;
  bool IsMember(const VmName& vm) const;
  // The VM's index among the members; the number of members if it isn't one.
  std::size_t MemberIndex(const VmName& vm) const;
  // The version that a VM must have adopted to count as having released a group that is changing. A VM that has adopted
  // it knows of the change and of the coordinator that makes it.
  std::uint64_t ReleaseVersion(const GroupName& group) const;
};

nlohmann::json ToJson(const CoordinationRecord& record);
// Throws ParseError.
CoordinationRecord ParseCoordinationRecord(const nlohmann::json& document);

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_RECORD_H_
