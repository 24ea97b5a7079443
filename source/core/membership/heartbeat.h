#ifndef AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/types.h"

// The membership part of a heartbeat between VMs, and its JSON form.
namespace amaranthlane::membership {

// The state of a VM: it works, it is shutting down and takes no new work, or other VMs found it dead.
enum class VmState : std::uint8_t { kWorking, kLeaving, kDead };

// The state of one VM as passed on by others. Incarnations should rise with each restart (the wall-clock time at the
// start suffices), so that old entries can be told from new ones. Otherwise other VMs learn of the restart only from
// the VM's own heartbeats. Of two entries of one incarnation the higher counter is newer; of two with the same counter,
// the one that says kDead.
struct DigestEntry {
  VmName vm;
  Incarnation incarnation = 0;
  // Rises with every heartbeat of that incarnation.
  std::uint64_t counter = 0;
  VmState state = VmState::kWorking;
  // These are empty unless the entry carries the VM's address.
  std::string data_centre;
  std::string region;
  // "ip:port" of the interface for peers.
  std::string address;

  bool operator==(const DigestEntry&) const = default;
};

// A VM's own entry, with some entries of other VMs.
struct Heartbeat {
  DigestEntry sender;
  std::vector<DigestEntry> digest;

  bool operator==(const Heartbeat&) const = default;
};

// Throws ParseError when `value` isn't a heartbeat.
Heartbeat ParseHeartbeat(const nlohmann::json& value);
nlohmann::json ToJson(const Heartbeat& heartbeat);

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_H_
