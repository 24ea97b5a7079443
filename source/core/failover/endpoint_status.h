#ifndef AMARANTHLANE_CORE_FAILOVER_ENDPOINT_STATUS_H_
#define AMARANTHLANE_CORE_FAILOVER_ENDPOINT_STATUS_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/types.h"

namespace amaranthlane::failover {

// What an endpoint says of itself when asked.
struct EndpointStatus {
  bool is_primary = false;
  Term term = 0;
  // The end of the log that it has received.
  LogPosition position;
  // Work that it does now, and connections that are open to it.
  std::uint64_t busy = 0;
  std::uint64_t connections = 0;
};

// An endpoint as its entry in the platform's directory tells.
struct EndpointEntry {
  EndpointName name;
  GroupName group;
  // ip:port.
  std::string address;
  std::string data_centre;
  // It serves for a while, and takes no new work.
  bool draining = false;
  // Its own belief at the time of its last entry; a hint only.
  bool claims_primary = false;
  std::uint64_t slots = 1;
  // Tells one life of the endpoint from the next under the same name.
  std::uint64_t born = 0;

  bool operator==(const EndpointEntry&) const = default;
};

using EndpointDirectory = std::map<EndpointName, EndpointEntry>;

// The same text for equal directories, as far as work is concerned: which endpoints there are and whether they drain.
std::string DirectoryDigest(const EndpointDirectory& directory);

}  // namespace amaranthlane::failover

#endif  // AMARANTHLANE_CORE_FAILOVER_ENDPOINT_STATUS_H_
