#ifndef AMARANTHLANE_CORE_LEADERSHIP_ACTIONS_H_
#define AMARANTHLANE_CORE_LEADERSHIP_ACTIONS_H_

#include <cstdint>
#include <variant>

#include "core/leadership/messages.h"
#include "core/leadership/record.h"
#include "core/types.h"

// What the leadership system asks of the daemon.
namespace amaranthlane::leadership {

// To `witness`, never this VM itself. The daemon reads the clock before it sends and hands the reading back with the
// answer.
struct SendPromiseRequest {
  VmName witness;
  PromiseRequest request;
};

struct AnswerPromise {
  std::uint64_t reply_id = 0;
  PromiseAnswer answer;
};

struct SendCloseRequest {
  VmName witness;
  CloseRequest request;
};

struct AnswerClose {
  std::uint64_t reply_id = 0;
  CloseAnswer answer;
};

// This witness is silent; the daemon ends the exchange without an answer (status 503).
struct DropRequest {
  std::uint64_t reply_id = 0;
};

// A conditional update of `leadership/<group>`. `expected_version` 0: must not exist.
struct UpdateRecord {
  GroupName group;
  ObjectVersion expected_version = 0;
  LeadershipRecord record;
};

struct ReadRecord {
  GroupName group;
};

// This VM leads the group from now to `valid_until`.
struct BecameLeader {
  GroupName group;
  Ballot ballot;
  TimePoint valid_until;
};

// The validity grew. `ballot` may have risen, since a leader may write the next epoch for itself.
struct ValidityExtended {
  GroupName group;
  Ballot ballot;
  TimePoint valid_until;
};

// This VM leads the group no more: its validity ended, or it released the group.
struct LostLeadership {
  GroupName group;
};

using Action = std::variant<SendPromiseRequest, AnswerPromise, SendCloseRequest, AnswerClose, DropRequest, UpdateRecord,
                            ReadRecord, BecameLeader, ValidityExtended, LostLeadership>;

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_ACTIONS_H_
