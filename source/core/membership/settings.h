#ifndef AMARANTHLANE_CORE_MEMBERSHIP_SETTINGS_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "core/types.h"

namespace amaranthlane::membership {

// The configured intervals and sizes of the membership system.
struct MembershipSettings {
  // Between two heartbeats to the same partner.
  Duration beat = std::chrono::milliseconds(400);
  // A VM that was silent for so long is suspected.
  Duration suspect_after = std::chrono::seconds(1);
  // A VM that was silent for so long is dead.
  Duration dead_after = std::chrono::seconds(3);
  // Both limits grow by so much for a VM that isn't a partner and is heard of through digests only.
  Duration digest_allowance = std::chrono::seconds(12);
  // A VM that is dead for so long and isn't on the platform's list is forgotten.
  Duration forget_after = std::chrono::minutes(2);
  // Up to this many VMs, each sends heartbeats to all others.
  std::size_t full_mesh_limit = 9;
  // Partners by rendezvous hashing in a larger fleet, beyond the witnesses.
  std::size_t hashed_partners = 5;
  // Partners that change with every beat.
  std::size_t rotating_partners = 2;
  // The most entries of other VMs in one heartbeat.
  std::size_t digest_entries = 16;
};

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_SETTINGS_H_
