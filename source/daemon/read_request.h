#ifndef AMARANTHLANE_DAEMON_READ_REQUEST_H_
#define AMARANTHLANE_DAEMON_READ_REQUEST_H_

#include "core/replicas/replica_table.h"
#include "daemon/work.h"

namespace amaranthlane::daemon {

// Whether the work is a read outside a transaction. Replicas may serve such a read.
bool IsAutocommitRead(const WorkRequest& request);

// The staleness and position requirements of such a read.
replicas::ReadRequest MakeReadRequest(const WorkRequest& request);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_READ_REQUEST_H_
