#ifndef AMARANTHLANE_CORE_MEMBERSHIP_SETTINGS_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/types.h"

namespace amaranthlane::membership {

// The intervals, time limits and sizes of the membership system.
struct MembershipSettings {
  // Between two heartbeats to the same direct peer.
  Duration heartbeat_interval = std::chrono::milliseconds(400);
  // Between two heartbeats with a digest to the gossip peers of a larger fleet.
  Duration gossip_interval = std::chrono::seconds(2);
  // A VM that has been silent for this long is suspected.
  Duration suspect_timeout = std::chrono::seconds(1);
  // A VM that has been silent for this long is dead.
  Duration dead_timeout = std::chrono::seconds(3);
  // Added to both timeouts for a VM that doesn't send heartbeats to this one in every interval.
  Duration indirect_allowance = std::chrono::seconds(60);
  // A VM that has been dead for this long and isn't on the platform's list is forgotten.
  Duration forget_timeout = std::chrono::minutes(2);
  // Up to this many VMs, each sends heartbeats to all others.
  std::size_t full_mesh_limit = 9;
  // The number of gossip peers that are chosen by rendezvous hashing in a larger fleet.
  std::size_t hashed_peers = 5;
  // The number of gossip peers that change with every gossip interval.
  std::size_t rotating_peers = 2;
  // The maximum number of entries of other VMs in one heartbeat.
  std::size_t max_digest_entries = 16;
  // The number of heartbeats in which a changed entry is sent ahead of the rotation.
  std::uint32_t urgent_sends = 28;
};

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_SETTINGS_H_
