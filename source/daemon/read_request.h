#ifndef AMARANTHLANE_DAEMON_READ_REQUEST_H_
#define AMARANTHLANE_DAEMON_READ_REQUEST_H_

#include "core/replicas/replica_table.h"
#include "daemon/work.h"

namespace amaranthlane::daemon {

// Whether the work is a read that commits by itself, which replicas may serve.
bool IsAutocommitRead(const WorkRequest& request);

// What such a read is owed.
replicas::ReadRequest MakeReadRequest(const WorkRequest& request);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_READ_REQUEST_H_
