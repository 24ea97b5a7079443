#ifndef AMARANTHLANE_CORE_PROMOTION_MESSAGES_H_
#define AMARANTHLANE_CORE_PROMOTION_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/replicas/group_record.h"
#include "core/replicas/position_reply.h"
#include "core/types.h"

// The events and actions of the promotion system.
namespace amaranthlane::promotion {

// Identifies a requested probe, read or configuration. Never zero.
using RequestId = std::uint64_t;

// --- Events ---

// A request on an open connection to the instance got no usable reply in time (at the primary: within
// `progress_timeout`), or the connection broke.
struct ConnectionUnresponsive {
  EndpointName endpoint;
};

// The instance answered a position probe sent at `sent_at`. The probe was either one of the daemon's own on an open
// connection (`request` 0), or one requested by ProbeInstance.
struct PositionReceived {
  RequestId request = 0;
  TimePoint sent_at;
  replicas::PositionReply reply;
};

// A probe requested by ProbeInstance failed, or its connection couldn't be opened.
struct ProbeFailed {
  RequestId request = 0;
};

// An endpoint refused a statement because it knows a higher term.
struct HigherTermSeen {
  EndpointName endpoint;
  Term term = 0;
};

// The group's object was read, or received from a watch. `request` is that of ReadGroupObject, or 0.
struct GroupObjectRead {
  RequestId request = 0;
  ObjectVersion version = 0;
  replicas::GroupRecord record;
};

struct GroupObjectReadFailed {
  RequestId request = 0;
};

struct UpdateApplied {
  std::string update_id;
  ObjectVersion version = 0;
};

// The object had been changed; `record` is its current value.
struct UpdateConflicted {
  std::string update_id;
  ObjectVersion version = 0;
  replicas::GroupRecord record;
};

// No reply was received: the update may or may not have been applied.
struct UpdateOutcomeUnknown {
  std::string update_id;
};

// The instance accepted the configuration of the request.
struct ConfigureAccepted {
  RequestId request = 0;
};

// The instance refused the configuration because it knows a higher term.
struct ConfigureRefused {
  RequestId request = 0;
  Term known_term = 0;
};

struct ConfigureFailed {
  RequestId request = 0;
};

// Reported after SuspendPrimary{planned}: at the primary no statement runs any more, no transaction is open, and no
// commit waits for its acknowledgement.
struct PrimaryIdle {
  Term term = 0;
};

// The primary answers, but for longer than `replication_stall_timeout` no replica has confirmed more of its log,
// although there is more (ReplicaTable::StalledSince). The primary may be disconnected from its replicas.
struct ReplicationStalled {
  Term term = 0;
};

// An operator requests a planned change of primary.
struct PromoteRequested {
  // If empty, the most advanced instance is chosen.
  std::optional<EndpointName> target;
};

using Event =
    std::variant<ConnectionUnresponsive, PositionReceived, ProbeFailed, HigherTermSeen, GroupObjectRead,
                 GroupObjectReadFailed, UpdateApplied, UpdateConflicted, UpdateOutcomeUnknown, ConfigureAccepted,
                 ConfigureRefused, ConfigureFailed, PrimaryIdle, ReplicationStalled, PromoteRequested>;

// --- Actions ---

// Send nothing new to the primary. `planned`: let running work finish and report PrimaryIdle, at the latest at
// `drain_deadline`; the outcome of work that still runs then is reported as unknown.
struct SuspendPrimary {
  Term term = 0;
  bool planned = false;
  TimePoint drain_deadline = kNever;
};

// End the suspension without a change of primary.
struct ResumePrimary {
  Term term = 0;
};

// From now on return no reply as an acknowledgement, until UnfreezeAcknowledgements or PrimaryChanged.
struct FreezeAcknowledgements {
  Term term = 0;
};

struct UnfreezeAcknowledgements {
  Term term = 0;
};

// Close the unresponsive connections to the instance and open new ones: the instance is a replica, or a primary that
// has replied on a new connection.
struct ReplaceConnections {
  EndpointName endpoint;
};

// Ask the instance for its position on a new connection. A reply after `deadline` is of no use.
struct ProbeInstance {
  RequestId request = 0;
  EndpointName endpoint;
  std::string address;
  TimePoint deadline;
};

struct ReadGroupObject {
  RequestId request = 0;
};

// Write `record` if the object's version is still `expected_version`. `record.update_id` identifies the update.
struct UpdateGroupObject {
  ObjectVersion expected_version = 0;
  replicas::GroupRecord record;
};

// POST /v1/configure with the record's term, primary and instances.
struct ConfigureInstance {
  RequestId request = 0;
  EndpointName endpoint;
  std::string address;
  TimePoint deadline;
  replicas::GroupRecord record;
};

// A newer record, perhaps with a newer term, applies: pass it to ReplicaTable::ApplyRecord. Replies to statements of an
// older term are no acknowledgements.
struct RecordAdopted {
  ObjectVersion version = 0;
  replicas::GroupRecord record;
};

// The primary of the term accepted its configuration and answers: send statements to it. This ends any suspension and
// freeze.
struct PrimaryChanged {
  Term term = 0;
  EndpointName primary;
  // Present when no write can have run in the term yet: pass it to ReplicaTable::SetTermBase.
  std::optional<replicas::TermBase> base;
};

enum class Phase : std::uint8_t {
  // Reads the group's object and collects the positions of the instances.
  kStarting,
  kServing,
  // Open connections are unresponsive; a new one is being tried.
  kSuspecting,
  // A planned change waits for running work to finish and for the target to reach the primary's last position.
  kDraining,
  // The primary has failed or its replication has stalled; asks the instances for their positions.
  kCollecting,
  // Writes the group's object.
  kUpdating,
  // The new primary is being configured.
  kConfiguring,
};

enum class WaitReason : std::uint8_t {
  kNone,
  kGroupObjectNotRead,
  // Too few instances have answered to be sure that a choice covers every acknowledged position.
  kTooFewInstancesAnswered,
  // No instance that could be chosen holds every acknowledged position.
  kAcknowledgedPositionNotCovered,
  kPlatformUnavailable,
  kPrimaryUnreachable,
  // The target of a planned change hasn't reached the primary's last position yet.
  kTargetBehind,
};

struct StatusChanged {
  Phase phase = Phase::kStarting;
  WaitReason reason = WaitReason::kNone;
};

enum class PlannedOutcome : std::uint8_t {
  kDone,
  // The target isn't a live instance of the group or is the primary already, or there is no other instance.
  kTargetUnsuitable,
  // Another change is in progress.
  kBusy,
  // The target didn't catch up in time; the primary keeps serving.
  kTimedOut,
  // Meanwhile the primary failed, or another leader replaced it.
  kSuperseded,
};

// The result of PromoteRequested.
struct PlannedChangeEnded {
  PlannedOutcome outcome = PlannedOutcome::kDone;
};

using Action = std::variant<SuspendPrimary, ResumePrimary, FreezeAcknowledgements, UnfreezeAcknowledgements,
                            ReplaceConnections, ProbeInstance, ReadGroupObject, UpdateGroupObject, ConfigureInstance,
                            RecordAdopted, PrimaryChanged, StatusChanged, PlannedChangeEnded>;

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_MESSAGES_H_
