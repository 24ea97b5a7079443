#ifndef AMARANTHLANE_CORE_LEADERSHIP_EVENTS_H_
#define AMARANTHLANE_CORE_LEADERSHIP_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/leadership/messages.h"
#include "core/leadership/record.h"
#include "core/types.h"

// What the daemon tells the leadership system.
namespace amaranthlane::leadership {

// Where a record was seen. Only what this process itself heard from the platform tells a restarted witness what it may
// have closed before.
enum class RecordSource : std::uint8_t { kPlatform, kPeer };

// A group's record as it was at `version`. Records older than the newest one seen are ignored.
struct RecordSeen {
  GroupName group;
  ObjectVersion version = 0;
  // Empty: the platform has no such object; `version` is then that of its tombstone or 0.
  std::optional<LeadershipRecord> record;
  RecordSource source = RecordSource::kPlatform;
};

// A read that the system asked for failed. A read that succeeded is a RecordSeen.
struct ReadFailed {
  GroupName group;
};

enum class UpdateResult : std::uint8_t {
  kApplied,
  kConflict,
  // No answer came; the update may have taken effect or may still.
  kLost,
};

struct UpdateAnswered {
  GroupName group;
  std::string update_id;
  UpdateResult result = UpdateResult::kLost;
  // Of the applied update, or of `current`.
  ObjectVersion version = 0;
  // With kConflict: the record that stands there, empty if there is none.
  std::optional<LeadershipRecord> current;
};

// A hint: whether the platform answers. It brings forward or puts off attempts and decides nothing.
struct PlatformReachable {
  bool reachable = false;
};

// A holder asks this VM as its witness. `reply_id` is the daemon's own and comes back with the answer.
struct PromiseRequestReceived {
  std::uint64_t reply_id = 0;
  PromiseRequest request;
};

// A witness answered this VM's request, which was sent at `sent_at`: the clock's reading before the first byte left.
struct PromiseAnswerReceived {
  TimePoint sent_at;
  PromiseAnswer answer;
};

struct CloseRequestReceived {
  std::uint64_t reply_id = 0;
  CloseRequest request;
};

struct CloseAnswerReceived {
  TimePoint sent_at;
  CloseAnswer answer;
};

// One VM as the membership system sees it.
struct VmView {
  VmName vm;
  Incarnation incarnation = 0;
  std::string data_centre;
  std::string region;
  // Heard from lately.
  bool live = false;
  bool leaving = false;
};

// The whole set of known VMs, this one included. A VM stays in it while it is silent, until the platform's list has
// dropped it.
struct VmsChanged {
  std::vector<VmView> vms;
};

// VMs that the platform says have been terminated for good. They count as witnesses that have closed everything.
struct VmsTerminated {
  std::vector<VmName> vms;
};

struct GroupView {
  GroupName group;
  std::string region;
};

// The whole set of database groups.
struct GroupsChanged {
  std::vector<GroupView> groups;
};

// Another VM was heard to lead `group` with `ballot`; used for routing only.
struct HolderHeard {
  GroupName group;
  Ballot ballot;
  Holder holder;
};

// This VM leaves: it releases what it leads and takes over nothing more.
struct DrainStarted {};

using Event = std::variant<RecordSeen, ReadFailed, UpdateAnswered, PlatformReachable, PromiseRequestReceived,
                           PromiseAnswerReceived, CloseRequestReceived, CloseAnswerReceived, VmsChanged, VmsTerminated,
                           GroupsChanged, HolderHeard, DrainStarted>;

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_EVENTS_H_
