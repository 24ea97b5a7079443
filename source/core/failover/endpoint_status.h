#ifndef AMARANTHLANE_CORE_FAILOVER_ENDPOINT_STATUS_H_
#define AMARANTHLANE_CORE_FAILOVER_ENDPOINT_STATUS_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/types.h"

namespace amaranthlane::failover {

// What an endpoint reports about itself when asked.
struct EndpointStatus {
  bool is_primary = false;
  Term term = 0;
  // The end of the log that it has received.
  LogPosition position;
  // The requests that it executes now, and its open connections.
  std::uint64_t active_requests = 0;
  std::uint64_t connections = 0;
};

// An endpoint as listed in the platform's directory.
struct EndpointEntry {
  EndpointName name;
  GroupName group;
  // ip:port.
  std::string address;
  std::string data_centre;
  // It still serves for a while but takes no new work.
  bool draining = false;
  // Whether it claimed to be primary when its entry was last written; only a hint.
  bool claims_primary = false;
  std::uint64_t slots = 1;
  // Distinguishes a restarted endpoint from its predecessor of the same name.
  std::uint64_t incarnation = 0;

  bool operator==(const EndpointEntry&) const = default;
};

using EndpointDirectory = std::map<EndpointName, EndpointEntry>;

// Equal for directories that are equal in what affects routing: which endpoints exist, their groups, addresses and
// slots, and whether they are draining.
std::string DirectoryDigest(const EndpointDirectory& directory);

}  // namespace amaranthlane::failover

#endif  // AMARANTHLANE_CORE_FAILOVER_ENDPOINT_STATUS_H_
