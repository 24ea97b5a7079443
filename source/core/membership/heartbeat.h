#ifndef AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/types.h"

// The membership's part of a heartbeat between VMs, and its JSON form.
namespace amaranthlane::membership {

// What is said of a VM: it works, it leaves and takes no new work, or others found it dead.
enum class VmState : std::uint8_t { kWorking, kLeaving, kDead };

// The aliveness of one VM as passed on by others. Incarnations should rise with each restart (a wall clock's reading at
// the start will do), so that old entries are told from new ones; nothing but the speed of digests depends on it. Of
// two entries of one incarnation the higher counter is newer; of two with the same counter, that which says kDead.
struct DigestEntry {
  VmName vm;
  Incarnation incarnation = 0;
  // Rises with every beat of that incarnation.
  std::uint64_t counter = 0;
  VmState state = VmState::kWorking;
  // Empty unless the entry introduces the VM.
  std::string data_centre;
  std::string region;
  // "ip:port" of the peers' interface.
  std::string address;

  bool operator==(const DigestEntry&) const = default;
};

// What a VM says of itself, with some entries of others.
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
