#ifndef AMARANTHLANE_CORE_COORDINATION_MESSAGES_H_
#define AMARANTHLANE_CORE_COORDINATION_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/coordination/record.h"
#include "core/gateways/gateway_choice.h"
#include "core/types.h"

// The messages by which VMs ask members for the grants that make up a lease, and by which members reply.
namespace amaranthlane::coordination {

// The log position of a group's primary, and the time since the primary was asked for it.
struct PrimaryPosition {
  GroupName group;
  LogPosition position;
  Duration age{};
};

// Which versions of the store's content a VM has.
struct StoreVersions {
  // The version of the configuration in use.
  std::uint64_t configuration_version = 0;
  // The store's revision at which the directory of endpoints was read, and a digest of that directory.
  StoreRevision directory_revision;
  std::string directory_digest;

  bool operator==(const StoreVersions&) const = default;
};

// Up to when a VM's copies of the store's content are known to be complete: each contains every change that the store
// acknowledged before this time on the VM's own clock.
struct StoreCurrency {
  TimePoint configuration_at;
  TimePoint directory_at;
};

// Asks a member to renew its grant to the sender, and reports the sender's state.
struct HeartbeatRequest {
  VmName vm;
  Incarnation incarnation = 0;
  std::string address;
  std::string relay_address;
  std::string data_centre;
  // As in gateways::FleetVm. False for VMs of an earlier build.
  bool accepts_notices = true;
  Millicores processor_share = {};
  // The version of the record that the sender has adopted. The sender uses no primary of a group that is changing in
  // that version.
  std::uint64_t version = 0;
  // The record itself, if the receiver is known to have an older one.
  std::optional<CoordinationRecord> record;
  // Groups whose former primary still has to answer a request of the sender.
  std::vector<GroupName> groups_in_use;
  // Endpoints that don't answer the sender, while others of their group do.
  std::vector<EndpointName> unreachable_endpoints;
  // Groups whose primary answers the sender. A VM without connections to a group lists neither the group here nor its
  // endpoints as unreachable.
  std::vector<GroupName> reachable_groups;
  // Changing groups whose former primary no VM can use any more on the strength of the sender's grants, each with the
  // record version for which that holds.
  std::map<GroupName, std::uint64_t> released_groups;
  // The sender is shutting down.
  bool leaving = false;
  // A digest of the fleet as the sender knows it.
  std::string fleet_digest;
  StoreVersions store;
};

// What a member reports with its reply. Ages are measured when the reply is sent. The receiver counts them back from
// the time at which it sent its heartbeat, so that nothing appears newer than it is.
struct FleetView {
  std::vector<PrimaryPosition> positions;
  // The VMs that are alive; empty if the receiver's fleet digest shows that it knows them.
  std::vector<gateways::FleetVm> fleet;
};

struct HeartbeatReply {
  VmName vm;
  Incarnation incarnation = 0;
  // For the grant duration, counted from the sending of the heartbeat, the member declares no group released that the
  // heartbeat's sender has not released.
  bool granted = false;
  std::uint64_t version = 0;
  std::optional<CoordinationRecord> record;
  // The time since the member last had an answer from the store.
  Duration store_contact_age{};
  // The coordinator asks for a handover because it can't reach what a change of primary needs.
  bool wants_handover = false;
  // The number of VMs in the fleet, as far as the member knows.
  std::uint64_t fleet_size = 0;
  StoreVersions store;
  // The time, when the reply was made, since the member's copies were known to be complete; none: unknown.
  std::optional<Duration> configuration_age;
  std::optional<Duration> directory_age;
  FleetView fleet_view;
};

nlohmann::json ToJson(const HeartbeatRequest& heartbeat);
nlohmann::json ToJson(const HeartbeatReply& reply);
// Throw ParseError.
HeartbeatRequest ParseHeartbeatRequest(const nlohmann::json& document);
HeartbeatReply ParseHeartbeatReply(const nlohmann::json& document);

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_MESSAGES_H_
