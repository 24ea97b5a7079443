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

// A directory as the store had it at a revision.
struct DirectorySnapshot {
  ObjectVersion revision = 0;
  failover::EndpointDirectory endpoints;
};

// What leads from the directory at one revision to that of a later one.
struct DirectoryUpdate {
  // For a reader that has the directory of this revision or a later one; 0: for any, as it is the whole directory.
  ObjectVersion base = 0;
  ObjectVersion revision = 0;
  // New and changed entries.
  failover::EndpointDirectory endpoints;
  std::vector<EndpointName> removed;
  // Of the directory that it leads to.
  std::string digest;
};

// Remembers when a VM saw which entry of the directory change, so that peers need only be told of what is new to them.
class DirectoryChangeLog {
 public:
  // The VM goes from one directory to another, which it learnt at `revision`. Its first one is complete.
  void Append(const failover::EndpointDirectory& before, const failover::EndpointDirectory& after,
              ObjectVersion revision);

  // What a VM that has the directory of revision `known` lacks of `now`; all of it when that isn't known any more.
  DirectoryUpdate ChangesSince(ObjectVersion known, const DirectorySnapshot& now) const;

 private:
  void TrimRemovals();

  // The revision from which on all changes are remembered; none: nothing is known yet.
  std::optional<ObjectVersion> first_complete_revision;
  std::map<EndpointName, ObjectVersion> change_revisions;
  std::map<EndpointName, ObjectVersion> removal_revisions;
};

// The directory that the update makes of `own`; none when the digest differs, as the reader has seen a state in between
// that the teller hasn't. It then needs the whole directory.
std::optional<DirectorySnapshot> ApplyUpdate(const DirectoryUpdate& update, const DirectorySnapshot& own);

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_DIRECTORY_CHANGE_LOG_H_
