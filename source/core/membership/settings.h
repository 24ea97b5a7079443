#ifndef AMARANTHLANE_CORE_MEMBERSHIP_SETTINGS_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/types.h"

namespace amaranthlane::membership {

// The configured intervals and sizes of the membership system.
struct MembershipSettings {
  // Between two heartbeats to the same direct partner.
  Duration heartbeat_interval = std::chrono::milliseconds(400);
  // Between two heartbeats with a digest to the gossip partners of a larger fleet.
  Duration gossip_interval = std::chrono::seconds(2);
  // A VM that was silent for so long is suspected.
  Duration suspect_timeout = std::chrono::seconds(1);
  // A VM that was silent for so long is dead.
  Duration dead_timeout = std::chrono::seconds(3);
  // Both limits grow by so much for a VM that doesn't send to this one regularly.
  Duration indirect_allowance = std::chrono::seconds(60);
  // A VM that is dead for so long and isn't on the platform's list is forgotten.
  Duration forget_timeout = std::chrono::minutes(2);
  // Up to this many VMs, each sends heartbeats to all others.
  std::size_t full_mesh_limit = 9;
  // Gossip partners by rendezvous hashing in a larger fleet.
  std::size_t hashed_peers = 5;
  // Gossip partners that change with every gossip beat.
  std::size_t rotating_peers = 2;
  // The most entries of other VMs in one heartbeat.
  std::size_t digest_entries = 16;
  // How often a changed entry is sent ahead of the rotation.
  std::uint32_t urgent_sends = 28;
};

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_SETTINGS_H_
