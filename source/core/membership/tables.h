#ifndef AMARANTHLANE_CORE_MEMBERSHIP_TABLES_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_TABLES_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/membership/heartbeat.h"
#include "core/membership/settings.h"
#include "core/types.h"

// The state of the membership system, and the events and actions between it and the daemon.
namespace amaranthlane::membership {

// Identifies this VM.
struct Self {
  VmName vm;
  Incarnation incarnation = 0;
  std::string data_centre;
  std::string region;
  // "ip:port" of the interface for peers.
  std::string address;
};

// A heartbeat arrived, as a request or as a reply. Either shows that the sender was alive.
struct HeartbeatReceived {
  Heartbeat heartbeat;
};

// One VM in the platform's list.
struct ListedVm {
  VmName vm;
  std::string data_centre;
  std::string region;
  std::string address;
  bool leaving = false;
};

// The platform's complete list. It lags behind, so heartbeats take precedence over it.
struct PlatformListReceived {
  std::vector<ListedVm> vms;
};

// The peer addresses in the settings. Their VMs are learnt from the heartbeats that they send.
struct SeedsConfigured {
  std::vector<std::string> addresses;
};

// The VMs that exchange heartbeats with this one in every interval, in fleets of any size, because leadership depends
// on them.
struct HeartbeatPeersChanged {
  // This VM sends to its witnesses and successors; they reply.
  std::set<VmName> send_to;
  // The leaders that this VM witnesses or succeeds send to it.
  std::set<VmName> hear_from;
};

// This VM is shutting down; its heartbeats say so from now on.
struct DrainStarted {};

using Event =
    std::variant<HeartbeatReceived, PlatformListReceived, SeedsConfigured, HeartbeatPeersChanged, DrainStarted>;

// `vm` is empty for a seed that has not been heard from yet.
struct SendHeartbeat {
  VmName vm;
  std::string address;
  Heartbeat heartbeat;
};

// Some VM appeared, disappeared, restarted, or changed its liveness or state. Vms() has the new table.
struct MembershipChanged {};

// The VM is no longer on the platform's list and is silent: it is gone permanently.
struct VmTerminated {
  VmName vm;
};

using Action = std::variant<SendHeartbeat, MembershipChanged, VmTerminated>;

enum class Liveness : std::uint8_t {
  // On the platform's list, but never heard from.
  kUnheard,
  kLive,
  kSuspected,
  kDead,
};

// One known VM other than this one.
struct VmRow {
  VmName vm;
  Incarnation incarnation = 0;
  std::string data_centre;
  std::string region;
  std::string address;
  std::uint64_t counter = 0;
  VmState state = VmState::kWorking;
  Liveness liveness = Liveness::kUnheard;
  // When the VM counts as suspected, dead and forgotten unless it is heard from again.
  TimePoint suspect_at = kNever;
  TimePoint dead_at = kNever;
  TimePoint forget_at = kNever;
  bool listed = false;
  // It was on the list before. Off the list again and silent, it is gone permanently.
  bool was_listed = false;
  bool listed_leaving = false;
  // The entry is sent ahead of the rotation in this many more heartbeats.
  std::uint32_t urgent_sends = 0;

  bool Leaving() const { return this->state == VmState::kLeaving || this->listed_leaving; }
};

struct MembershipTables {
  Self self;
  MembershipSettings settings;
  std::map<VmName, VmRow> vms;
  std::set<std::string> seeds;
  std::set<VmName> send_to;
  std::set<VmName> hear_from;
  VmState state = VmState::kWorking;
  std::uint64_t counter = 0;
  // The last tick. Ticks come at least once per heartbeat interval, so a longer gap means that this VM was paused.
  TimePoint last_tick;
  TimePoint next_heartbeat;
  TimePoint next_gossip;
  // The rotations of peers and of digest entries continue after these VMs.
  VmName peer_cursor;
  VmName digest_cursor;
  VmName urgent_cursor;
  bool changed = false;
  // The actions of the current tick.
  std::vector<Action> actions;

  // Whether all VMs exchange heartbeats with all others.
  bool IsFullMesh() const { return this->vms.size() < this->settings.full_mesh_limit; }
};

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_TABLES_H_
