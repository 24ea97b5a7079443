#include "daemon/read_request.h"

namespace amaranthlane::daemon {

replicas::ReadRequest MakeReadRequest(const WorkRequest& request) {
  replicas::ReadRequest read;
  read.max_staleness = request.requirements.max_staleness;
  read.data_centre = request.data_centre;
  if (request.requirements.read_your_writes) {
    read.token = request.token;
  }
  return read;
}

bool IsAutocommitRead(const WorkRequest& request) {
  return request.kind == WorkKind::kStatement && request.mode == outcomes::StatementMode::kRead;
}

}  // namespace amaranthlane::daemon
