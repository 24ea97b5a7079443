#ifndef AMARANTHLANE_CORE_FAILOVER_DEPARTED_ENDPOINTS_H_
#define AMARANTHLANE_CORE_FAILOVER_DEPARTED_ENDPOINTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/failover/endpoint_status.h"
#include "core/types.h"

namespace amaranthlane::failover {

// Remembers the endpoints that have left the directory, for groups with synchronous replicas. A departed endpoint may
// have had the only copy, besides the primary's, of an acknowledged commit. It is forgotten once it is back, once an
// endpoint at its address has its log, or once another endpoint has all that the primary had when it left.
class DepartedEndpoints {
 public:
  // Compares the directory with the one of the last call. `synchronous_replicas`: the number for each group; groups
  // without any are left out.
  void Update(const EndpointDirectory& directory, const std::map<GroupName, std::uint64_t>& synchronous_replicas,
              TimePoint now);

  // Another endpoint of the group has reached a position that the primary reported in answer to a query sent at
  // `queried_at`.
  void OnPositionReached(const GroupName& group, TimePoint queried_at);

  // The departed endpoints of the group.
  std::vector<EndpointName> Of(const GroupName& group) const;

 private:
  struct Departed {
    EndpointEntry entry;
    TimePoint since;
  };

  std::map<EndpointName, EndpointEntry> known;
  std::map<EndpointName, Departed> departed;
};

}  // namespace amaranthlane::failover

#endif  // AMARANTHLANE_CORE_FAILOVER_DEPARTED_ENDPOINTS_H_
