#ifndef AMARANTHLANE_CORE_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/membership/heartbeat.h"
#include "core/membership/settings.h"
#include "core/types.h"

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

// The VMs that this one needs to hear from directly: its witnesses, the leaders it witnesses and whom it succeeds.
struct CloseVmsChanged {
  std::set<VmName> vms;
};

// This VM leaves; its heartbeats say so from now on.
struct DrainStarted {};

using Event = std::variant<HeartbeatReceived, PlatformListSeen, SeedsGiven, CloseVmsChanged, DrainStarted>;

enum class Liveness : std::uint8_t {
  // Known from the list or the settings, never heard of.
  kUnheard,
  kLive,
  kSuspected,
  kDead,
};

// One known VM.
struct VmRow {
  VmName vm;
  Incarnation incarnation = 0;
  std::string data_centre;
  std::string region;
  std::string address;
  std::uint64_t counter = 0;
  VmState state = VmState::kWorking;
  Liveness liveness = Liveness::kUnheard;
  // The end of each stage, counted from the last sign of life.
  TimePoint suspect_at = TimePoint::min();
  TimePoint dead_at = TimePoint::min();
  TimePoint forget_at = TimePoint::min();
  bool listed = false;
  bool listed_leaving = false;
  // The entry is passed on in this many more heartbeats ahead of the rotation.
  std::uint32_t urgent_sends = 0;

  bool Leaving() const { return this->state == VmState::kLeaving || this->listed_leaving; }
};

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

// Keeps the table of VMs for one VM. It is pure: the daemon feeds it events and carries out its actions.
class MembershipSystem {
 public:
  MembershipSystem(Self self, MembershipSettings settings, TimePoint started_at);

  // Takes the events in, in order, and sends the heartbeats that are due.
  std::vector<Action> Tick(TimePoint now, std::span<const Event> events);

  // When Tick has something to do next without an event.
  TimePoint NextDeadline() const;

  // All known VMs but this one, by name.
  const std::map<VmName, VmRow>& Vms() const { return this->vms; }

  // This VM's heartbeat without a digest, for the answer to a received one.
  Heartbeat OwnHeartbeat() const;

 private:
  void Handle(TimePoint now, const HeartbeatReceived& event);
  void Handle(TimePoint now, const PlatformListSeen& event);
  void Handle(TimePoint now, const SeedsGiven& event);
  void Handle(TimePoint now, const CloseVmsChanged& event);
  void Handle(TimePoint now, const DrainStarted& event);

  Self self;
  MembershipSettings settings;
  std::map<VmName, VmRow> vms;
  std::set<std::string> seeds;
  std::set<VmName> close_vms;
  VmState state = VmState::kWorking;
  std::uint64_t counter = 0;
  TimePoint next_beat;
  // Where the rotations of partners and of digest entries go on.
  std::uint64_t partner_cursor = 0;
  VmName digest_cursor;
  std::vector<Action> actions;
};

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_
