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

// What VMs say to each other about promises.
namespace amaranthlane::coordination {

// Where a group's primary stood, and how long ago it was asked.
struct KnownPosition {
  GroupName group;
  LogPosition position;
  Duration age{};
};

// What a VM has of the store's content.
struct StoreKnowledge {
  // The version of the configuration that it acts on.
  std::uint64_t configuration_version = 0;
  // The store's revision at which its directory of endpoints was read, and a digest of that directory.
  ObjectVersion directory_revision = 0;
  std::string directory_digest;

  bool operator==(const StoreKnowledge&) const = default;
};

// A VM asks a member for a promise, and tells what it knows and does.
struct Beat {
  VmName vm;
  Incarnation incarnation = 0;
  std::string address;
  std::string relay_address;
  std::string data_centre;
  // The version of the record that the sender acts on. It uses no primary of a group that is changing in it.
  std::uint64_t version = 0;
  // The record itself, when the receiver is known to have an older one.
  std::optional<CoordinationRecord> record;
  // Groups whose former primary still owes this VM an answer.
  std::vector<GroupName> busy;
  // Endpoints that don't answer this VM, while others of their group do.
  std::vector<EndpointName> suspects;
  // Groups whose primary answers it. A VM that has no connections to a group names nothing of it in either list.
  std::vector<GroupName> reaches;
  // Groups that are changing and that no VM can use any more by this VM's promises, each with the record's version
  // for which that holds.
  std::map<GroupName, std::uint64_t> released;
  // The VM shuts down.
  bool leaving = false;
  // The fleet that the sender knows.
  std::string fleet_digest;
  StoreKnowledge store;
};

// What a member tells beside its promise. Ages count up to the sending of the reply, so the asker may take what it
// reads as known at the time that it sent its beat, less the age.
struct MemberKnowledge {
  std::vector<KnownPosition> positions;
  // The VMs that are alive; empty when the asker knows them.
  std::vector<gateways::FleetVm> fleet;
};

struct BeatReply {
  VmName vm;
  Incarnation incarnation = 0;
  // For the promised time, counted from the sending of the beat, the member declares no group released unless the
  // asker has released it.
  bool promised = false;
  std::uint64_t version = 0;
  std::optional<CoordinationRecord> record;
  // How long ago the member last heard from the store.
  Duration store_silence{};
  // The holder asks to be relieved: it can't reach what it needs.
  bool wants_relief = false;
  // VMs that beat to this member lately.
  std::uint64_t fleet_size = 0;
  StoreKnowledge store;
  MemberKnowledge knowledge;
};

nlohmann::json ToJson(const Beat& beat);
nlohmann::json ToJson(const BeatReply& reply);
// The parse functions throw ParseError.
Beat ParseBeat(const nlohmann::json& document);
BeatReply ParseBeatReply(const nlohmann::json& document);

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_MESSAGES_H_
