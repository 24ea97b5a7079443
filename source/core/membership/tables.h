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

// The state that the membership systems run over, and the events and actions between them and the daemon.
namespace amaranthlane::membership {

// Identifies this VM.
struct Self {
  VmName vm;
  Incarnation incarnation = 0;
  std::string data_centre;
  std::string region;
  // "ip:port" of the peers' interface.
  std::string address;
};

// A heartbeat came, as a request or as the answer to one. Either proves that the sender was alive.
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

// The platform's whole list. It lags: heartbeats go before it.
struct PlatformListSeen {
  std::vector<ListedVm> vms;
};

// The peers' addresses in the settings. The VMs behind them are learned from their heartbeats.
struct SeedsGiven {
  std::vector<std::string> addresses;
};

// The VMs that leadership ties to this one. They exchange heartbeats every beat in fleets of any size.
struct CloseVmsChanged {
  // This VM sends to its witnesses and successors; they answer.
  std::set<VmName> send_to;
  // The leaders that this VM witnesses or succeeds send to it.
  std::set<VmName> hear_from;
};

// This VM leaves; its heartbeats say so from now on.
struct DrainStarted {};

using Event = std::variant<HeartbeatReceived, PlatformListSeen, SeedsGiven, CloseVmsChanged, DrainStarted>;

// To `address`. `vm` is empty for a seed that has not been heard from yet.
struct SendHeartbeat {
  VmName vm;
  std::string address;
  Heartbeat heartbeat;
};

// Some VM appeared, vanished, restarted or changed its liveness or state; the whole table follows from `Vms`.
struct MembershipChanged {};

// The platform's list dropped this VM, and it is silent: it is gone for good.
struct VmTerminated {
  VmName vm;
};

using Action = std::variant<SendHeartbeat, MembershipChanged, VmTerminated>;

enum class Liveness : std::uint8_t {
  // Known from the platform's list, never heard of.
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
  // When the VM counts as suspected, dead and forgotten unless it is heard of again.
  TimePoint suspect_at = kNever;
  TimePoint dead_at = kNever;
  TimePoint forget_at = kNever;
  bool listed = false;
  // It was listed once; off the list again and silent, it is gone for good.
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
  // The last tick. A tick comes every beat at least, so that a longer gap is this VM's own pause.
  TimePoint last_tick;
  TimePoint next_heartbeat;
  TimePoint next_gossip;
  // Where the rotations of partners and of digest entries go on: after this VM.
  VmName peer_cursor;
  VmName digest_cursor;
  VmName urgent_cursor;
  bool changed = false;
  // The actions of the running tick.
  std::vector<Action> actions;

  // Whether all VMs exchange heartbeats with all others.
  bool IsFullMesh() const { return this->vms.size() < this->settings.full_mesh_limit; }
};

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_TABLES_H_
