#ifndef AMARANTHLANE_CORE_CONFIGURATION_RELAY_SELECTION_H_
#define AMARANTHLANE_CORE_CONFIGURATION_RELAY_SELECTION_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace amaranthlane::configuration {

// The number of VMs per data centre that watch the platform on behalf of all its VMs.
inline constexpr std::size_t kRelaysPerDataCentre = 2;

// A VM that is alive and not leaving.
struct Member {
  VmName vm;
  std::string data_centre;

  bool operator==(const Member&) const = default;
};

// Selects the relays of one data centre from its members by rendezvous hashing: VMs that agree on the members agree on
// the relays, and a change of one member replaces at most one relay. With two members or fewer, all are relays.
std::vector<VmName> SelectRelays(std::span<const Member> members, std::string_view data_centre);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_RELAY_SELECTION_H_
