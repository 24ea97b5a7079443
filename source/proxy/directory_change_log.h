#ifndef AMARANTHLANE_PROXY_DIRECTORY_CHANGE_LOG_H_
#define AMARANTHLANE_PROXY_DIRECTORY_CHANGE_LOG_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/failover/endpoint_status.h"
#include "core/types.h"

namespace amaranthlane::proxy {

// The directory of endpoints at a revision of the store.
struct DirectorySnapshot {
  StoreRevision revision;
  failover::EndpointDirectory endpoints;
  // The number of entries in the store that are left out because they are invalid. 0 in a copy from a peer.
  std::size_t invalid_entries = 0;
};

// The difference between the directories at two revisions, or a whole directory.
struct DirectoryUpdate {
  // The update applies to the directory at this revision of the same era or a later one. 0: it holds the whole
  // directory.
  ObjectVersion base = 0;
  StoreRevision revision;
  // New and changed entries.
  failover::EndpointDirectory endpoints;
  std::vector<EndpointName> removed;
  // The digest of the resulting directory.
  std::string digest;
};

// Keeps the revision at which each entry of a VM's directory last changed, so that peers are sent only the entries that
// are new to them.
class DirectoryChangeLog {
 public:
  // Records that the VM's directory has changed from `before` to `after`, which has this revision. The first call in an
  // era only sets the revision at which the log begins.
  void Append(const failover::EndpointDirectory& before, const failover::EndpointDirectory& after,
              const StoreRevision& revision);

  // The update from the directory at revision `known` to `now`; the whole directory if the log doesn't reach back to
  // `known`.
  DirectoryUpdate ChangesSince(const StoreRevision& known, const DirectorySnapshot& now) const;

 private:
  void TrimRemovals();

  // The log is complete from this revision on; none: it is empty. All revisions in it are of the same era.
  std::optional<StoreRevision> first_complete;
  std::map<EndpointName, ObjectVersion> change_revisions;
  std::map<EndpointName, ObjectVersion> removal_revisions;
};

// Applies an update to the directory `own`. Returns none when the digest of the result differs, because this VM has
// seen a state in between that the sender has not. It then needs the whole directory.
std::optional<DirectorySnapshot> ApplyUpdate(const DirectoryUpdate& update, const DirectorySnapshot& own);

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_DIRECTORY_CHANGE_LOG_H_
