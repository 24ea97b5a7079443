#ifndef AMARANTHLANE_CORE_LEADERSHIP_ACTIONS_H_
#define AMARANTHLANE_CORE_LEADERSHIP_ACTIONS_H_

#include <cstdint>
#include <variant>

#include "core/leadership/messages.h"
#include "core/leadership/record.h"
#include "core/types.h"

// The actions that the leadership system returns to the daemon.
namespace amaranthlane::leadership {

// Sent to `witness`, which is never this VM. The daemon reads the clock before it sends the request and returns that
// time with the reply.
struct SendGrantRequest {
  VmName witness;
  GrantRequest request;
};

struct SendGrantReply {
  std::uint64_t reply_id = 0;
  GrantReply reply;
};

struct SendCloseRequest {
  VmName witness;
  CloseRequest request;
};

struct SendCloseReply {
  std::uint64_t reply_id = 0;
  CloseReply reply;
};

// Rejects a request that arrived while this witness is silent after its start: the daemon responds with status 503 and
// no reply.
struct RejectRequest {
  std::uint64_t reply_id = 0;
};

// Updates `leadership/<group>` if its version is still `expected_version`; 0 means that the object must not exist.
struct UpdateRecord {
  GroupName group;
  ObjectVersion expected_version = 0;
  LeadershipRecord record;
};

struct ReadRecord {
  GroupName group;
};

// This VM leads the group from now until `valid_until`.
struct BecameLeader {
  GroupName group;
  Ballot ballot;
  TimePoint valid_until;
};

// This VM's leadership was extended to `valid_until`. `ballot` may be higher than before, since a leader may write the
// next epoch for itself.
struct ValidityExtended {
  GroupName group;
  Ballot ballot;
  TimePoint valid_until;
};

// This VM no longer leads the group: its validity ended, or it released the group.
struct LostLeadership {
  GroupName group;
};

using Action = std::variant<SendGrantRequest, SendGrantReply, SendCloseRequest, SendCloseReply, RejectRequest,
                            UpdateRecord, ReadRecord, BecameLeader, ValidityExtended, LostLeadership>;

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_ACTIONS_H_
