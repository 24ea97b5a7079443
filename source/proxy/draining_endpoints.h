#ifndef AMARANTHLANE_PROXY_DRAINING_ENDPOINTS_H_
#define AMARANTHLANE_PROXY_DRAINING_ENDPOINTS_H_

#include <map>

#include "core/failover/endpoint_status.h"

namespace amaranthlane::proxy {

// Remembers the endpoints that had begun to drain when the store was restored from an older copy, in which they
// haven't. Each counts as draining until it has written its entry again or is gone.
class DrainingEndpoints {
 public:
  // Notes that the store was restored: `before` was in force, `restored` is the first directory since.
  void OnRestore(const failover::EndpointDirectory& before, const failover::EndpointDirectory& restored);

  // Returns the directory with those endpoints shown as draining, and forgets the others.
  failover::EndpointDirectory Apply(const failover::EndpointDirectory& directory);

 private:
  // The entries as the restored store held them.
  std::map<EndpointName, failover::EndpointEntry> restored_entries;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_DRAINING_ENDPOINTS_H_
