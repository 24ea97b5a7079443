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

// The events that the daemon passes to the leadership system.
namespace amaranthlane::leadership {

// Where a record came from. Only a record that this process received from the platform itself tells a restarted witness
// which ballots it may have closed before the restart.
enum class RecordSource : std::uint8_t { kPlatform, kPeer };

// A group's record as it was at `version`. Records older than the newest one seen are ignored.
struct RecordSeen {
  GroupName group;
  ObjectVersion version = 0;
  // Empty: the platform has no such object; `version` is then that of its tombstone or 0.
  std::optional<LeadershipRecord> record;
  RecordSource source = RecordSource::kPlatform;
};

// A requested read failed. A successful read is reported as RecordSeen.
struct ReadFailed {
  GroupName group;
};

enum class UpdateResult : std::uint8_t {
  kApplied,
  kConflict,
  // No reply was received: the update may have been applied, or may still be.
  kUnknown,
};

struct UpdateCompleted {
  GroupName group;
  std::string update_id;
  UpdateResult result = UpdateResult::kUnknown;
  // The version of the applied update, or of `current`.
  ObjectVersion version = 0;
  // With kConflict: the record that the platform holds, empty if it holds none.
  std::optional<LeadershipRecord> current;
};

// A hint whether the platform is reachable. It only changes the time of the next attempt; no decision depends on it.
struct PlatformReachable {
  bool reachable = false;
};

// A holder requests lease grants from this VM as a witness. `reply_id` is assigned by the daemon and returned with the
// reply.
struct GrantRequestReceived {
  std::uint64_t reply_id = 0;
  GrantRequest request;
};

// A witness answered a grant request of this VM. `sent_at` is the clock reading taken before the first byte of the
// request was sent.
struct GrantReplyReceived {
  TimePoint sent_at;
  GrantReply reply;
};

struct CloseRequestReceived {
  std::uint64_t reply_id = 0;
  CloseRequest request;
};

struct CloseReplyReceived {
  TimePoint sent_at;
  CloseReply reply;
};

// One VM as the membership system sees it.
struct VmView {
  VmName vm;
  Incarnation incarnation = 0;
  std::string data_centre;
  std::string region;
  // A heartbeat was received recently.
  bool live = false;
  bool leaving = false;
};

// All known VMs, including this one. A VM that sends no heartbeats stays in the set until the platform no longer lists
// it.
struct VmsChanged {
  std::vector<VmView> vms;
};

// VMs that the platform reports as permanently terminated. As witnesses they count as having closed every ballot.
struct VmsTerminated {
  std::vector<VmName> vms;
};

struct GroupView {
  GroupName group;
  std::string region;
};

// All database groups.
struct GroupsChanged {
  std::vector<GroupView> groups;
};

// Another VM reports that it leads `group` with `ballot`. Used for routing, and to hold back a takeover by this VM.
struct HolderReported {
  GroupName group;
  Ballot ballot;
  Holder holder;
};

// This VM is being drained: it releases the groups that it leads and takes over no others.
struct DrainStarted {};

using Event = std::variant<RecordSeen, ReadFailed, UpdateCompleted, PlatformReachable, GrantRequestReceived,
                           GrantReplyReceived, CloseRequestReceived, CloseReplyReceived, VmsChanged, VmsTerminated,
                           GroupsChanged, HolderReported, DrainStarted>;

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_EVENTS_H_
